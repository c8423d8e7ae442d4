package wiring

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"petrelhook/internal/sidecar/handover"
	"petrelhook/internal/sidecar/lifecycle"
	"petrelhook/internal/sidecar/member/relay"
)

// The lines that two processes send each other on a link. A process ignores lines that it does not know, because the other process may be of
// a later version.
const (
	// lineReady is sent by the successor once it serves. The predecessor records that it has a successor, and acknowledges.
	lineReady = "ready"
	// lineAcknowledged is the predecessor's answer to lineReady. The successor waits for it before it reports that it is ready.
	lineAcknowledged = "heard"
	// lineEvacuate and lineRejoin are sent by either process when operators have made that call to it. The receiver does the same.
	lineEvacuate = "evacuate"
	lineRejoin   = "rejoin"
	// lineFollows is sent by the predecessor after lineAcknowledged. It says that the predecessor can use updates of the successor's watch
	// of discovery. The successor sends these updates from then on.
	lineFollows = "follows"
	// lineWatch is the prefix of a line that the successor sends to a predecessor that has sent lineFollows. The rest of the line is a
	// relay.Update in JSON. The predecessor passes it to its relay.
	lineWatch = "watch "
)

// peer is the other process of the sidecar at the far end of a link: the predecessor or a successor.
type peer struct {
	sidecar     *Sidecar
	link        *handover.Link
	isSuccessor bool

	mu                 sync.Mutex
	reportedEvacuation bool // whether, as far as the other process knows, an evacuation is requested

	publishing bool // whether updates are sent to the predecessor; used by the goroutine that reads lines
}

// serve handles the lines of the other process and notifies it of evacuations, until that process has ended or the link is closed.
func (p *peer) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { p.reportEvacuations(ctx) })
	p.link.ReadLines(func(line string) {
		if update, ok := strings.CutPrefix(line, lineWatch); ok {
			p.handleWatch(update)
			return
		}
		switch line {
		case lineReady:
			p.handleReady()
		case lineAcknowledged:
			p.sidecar.handover.acknowledge()
		case lineFollows:
			if !p.isSuccessor && !p.publishing {
				p.publishing = true
				tasks.Go(func() { p.sidecar.relay.Publish(ctx, p.sendUpdate) })
			}
		case lineEvacuate:
			p.handleEvacuation(true, lifecycle.Evacuate)
		case lineRejoin:
			p.handleEvacuation(false, lifecycle.Rejoin)
		}
	})
	cancel()
	tasks.Wait()
}

// reportEvacuations sends lineEvacuate or lineRejoin when the other process does not know whether an evacuation is requested here, until ctx
// ends.
func (p *peer) reportEvacuations(ctx context.Context) {
	for {
		status, changed := p.sidecar.lifecycle.Watch()
		requested := status.EvacuationRequested()
		p.mu.Lock()
		unreported := requested != p.reportedEvacuation && status.State() != lifecycle.Stopping
		p.reportedEvacuation = requested
		p.mu.Unlock()
		if unreported && requested {
			p.send(lineEvacuate)
		} else if unreported {
			p.send(lineRejoin)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// handleEvacuation applies a call that operators made to the other process.
func (p *peer) handleEvacuation(requested bool, event lifecycle.Event) {
	p.mu.Lock()
	p.reportedEvacuation = requested
	p.mu.Unlock()
	p.sidecar.lifecycle.Apply(event)
}

// handleReady records that the successor serves, and acknowledges it.
func (p *peer) handleReady() {
	if !p.isSuccessor {
		return
	}
	p.sidecar.lifecycle.Apply(lifecycle.SuccessorStarted)
	p.send(lineAcknowledged)
	p.send(lineFollows)
}

// handleWatch applies an update of the successor's watch of discovery. An update that cannot be decoded comes from another version and is
// ignored: the relay opens its own watch when no updates come.
func (p *peer) handleWatch(text string) {
	var update relay.Update
	if err := json.Unmarshal([]byte(text), &update); p.isSuccessor && err == nil {
		p.sidecar.relay.Receive(update)
	}
}

// sendUpdate sends an update of this process' watch of discovery to the predecessor.
func (p *peer) sendUpdate(update relay.Update) error {
	text, err := json.Marshal(update)
	if err != nil {
		return err
	}
	return p.link.Send(lineWatch + string(text))
}

// send sends a line. It ignores an error: either the other process has ended, which ReadLines notices, or it hangs.
func (p *peer) send(line string) { _ = p.link.Send(line) }
