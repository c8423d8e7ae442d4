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

// The lines of a link. A process passes over lines that it does not know: the other may be of a later version.
const (
	// lineReady is sent by the successor once it serves. The predecessor counts as succeeded, and acknowledges.
	lineReady = "ready"
	// lineAcknowledged is the predecessor's answer to lineReady. The successor waits for it before it says to others that it is ready.
	lineAcknowledged = "heard"
	// lineEvacuate and lineRejoin are sent by either process when operators have asked it so; the other does the same.
	lineEvacuate = "evacuate"
	lineRejoin   = "rejoin"
	// lineFollows is sent by the predecessor after lineAcknowledged: it can follow the successor's watch of discovery. The successor
	// publishes that watch from then on.
	lineFollows = "follows"
	// lineWatch begins a line of the successor, to a predecessor that follows; a relay.Update in JSON is the rest of it. The predecessor
	// gives it to its relay.
	lineWatch = "watch "
)

// peer is the other process of the sidecar at the end of a link, while both live: the predecessor or a successor.
type peer struct {
	sidecar     *Sidecar
	link        *handover.Link
	isSuccessor bool

	mu                 sync.Mutex
	reportedEvacuation bool // the evacuation or its end that the other process knows of

	publishing bool // to the predecessor; used by the goroutine that reads lines
}

// serve handles the lines of the other process, and notifies it of evacuations, until it has ended or the link is closed.
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

// reportEvacuations notifies the other process of each evacuation and its end that it does not know of, until ctx ends.
func (p *peer) reportEvacuations(ctx context.Context) {
	for {
		status, changed := p.sidecar.lifecycle.Watch()
		requested := status.EvacuationRequested()
		p.mu.Lock()
		news := requested != p.reportedEvacuation && status.State() != lifecycle.Stopping
		p.reportedEvacuation = requested
		p.mu.Unlock()
		if news && requested {
			p.send(lineEvacuate)
		} else if news {
			p.send(lineRejoin)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// handleEvacuation does as operators asked the other process.
func (p *peer) handleEvacuation(requested bool, event lifecycle.Event) {
	p.mu.Lock()
	p.reportedEvacuation = requested
	p.mu.Unlock()
	p.sidecar.lifecycle.Apply(event)
}

// handleReady notes that the successor serves, and acknowledges it.
func (p *peer) handleReady() {
	if !p.isSuccessor {
		return
	}
	p.sidecar.lifecycle.Apply(lifecycle.Succeeded)
	p.send(lineAcknowledged)
	p.send(lineFollows)
}

// handleWatch applies an update of the successor's watch of discovery. One that cannot be decoded is of another version, and ignored: the
// relay opens a watch of its own when no update comes.
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

// send sends a line. It ignores an error: that process has ended, which ReadLines sees, or hangs.
func (p *peer) send(line string) { _ = p.link.Send(line) }
