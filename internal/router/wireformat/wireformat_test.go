package wireformat

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/gobschema"
	"petrelhook/internal/router/dissemination"
	"petrelhook/internal/router/registry"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/storage"
	"petrelhook/internal/router/transport"
)

const recordedFolder = "testdata/cfdfdec"

// recordedName returns the base name of the files with the recorded message of a registered name.
func recordedName(registeredName string) string {
	return strings.ReplaceAll(strings.TrimPrefix(registeredName, "petrelhook/internal/router/"), "/", ".")
}

func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(recordedFolder, name))
	require.NoError(t, err)
	return content
}

// decodeRecorded decodes a recorded message as package transport does, without converting it from its wire type.
func decodeRecorded(t *testing.T, name string) any {
	t.Helper()
	NewCodec()
	var envelope transport.Envelope
	decoder := gob.NewDecoder(bytes.NewReader(readRecorded(t, recordedName(name)+".gob")))
	require.NoError(t, decoder.Decode(&envelope))
	require.Equal(t, "127.0.0.2:7400", envelope.From)
	return envelope.Body
}

// The registered names and their fields are exactly the recorded ones, so an older router can read what this version
// sends.
func TestSchemaIsTheRecordedOne(t *testing.T) {
	var lines []string
	for name, message := range registered {
		lines = append(lines, name+" "+gobschema.Describe(reflect.TypeOf(message)))
	}
	lines = append(lines, "envelope "+gobschema.Describe(reflect.TypeFor[transport.Envelope]()),
		"servers "+gobschema.Describe(reflect.TypeFor[[]wireUpdate]()))
	recorded := strings.Split(strings.TrimSpace(string(readRecorded(t, "schema.txt"))), "\n")
	require.ElementsMatch(t, recorded, lines)
}

// A message of the recorded version is decoded with all its values, and would be sent with the same values again.
func TestRecordedMessagesAreRead(t *testing.T) {
	codec := NewCodec()
	for _, name := range slices.Sorted(maps.Keys(registered)) {
		t.Run(recordedName(name), func(t *testing.T) {
			value := decodeRecorded(t, name)
			require.IsType(t, registered[name], value)
			asSent, err := json.MarshalIndent(value, "", " ")
			require.NoError(t, err)
			require.Equal(t, string(readRecorded(t, recordedName(name)+".json")), string(asSent)+"\n")
			require.Equal(t, value, codec.ToWire(codec.FromWire(value)))
		})
	}
}

// A message that this version sends has the recorded values when it is decoded into types with the recorded fields.
func TestSentMessagesAreReadByTheRecordedVersion(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(registered)) {
		t.Run(recordedName(name), func(t *testing.T) {
			codec := NewCodec()
			recorded := decodeRecorded(t, name)
			var sent bytes.Buffer
			envelope := transport.Envelope{From: "127.0.0.2:7400", Body: codec.ToWire(codec.FromWire(recorded))}
			require.NoError(t, gob.NewEncoder(&sent).Encode(envelope))
			require.Contains(t, sent.String(), name, "the name by which an older router knows the message")
			var received transport.Envelope
			require.NoError(t, gob.NewDecoder(&sent).Decode(&received))
			require.Equal(t, recorded, received.Body)
		})
	}
}

// Each field that has another name on the wire is converted from its own value, not from that of a neighbouring field.
func TestRenamedFields(t *testing.T) {
	codec := NewCodec()

	value := decodeRecorded(t, disseminationPrefix+"Session")
	wireSession, ok := value.(wireSubscriptionHeartbeat)
	require.True(t, ok)
	session, ok := codec.FromWire(value).(dissemination.SubscriptionHeartbeat)
	require.True(t, ok)
	require.Equal(t, wireSession.Node.Life, session.Router.Incarnation)
	require.Equal(t, wireSession.HomeLife, session.HomeIncarnation)
	require.Equal(t, wireSession.Stamp, session.RegistryStamp)
	require.Equal(t, wireSession.Sessions, session.SessionsStamp)
	wireSession.Core, wireSession.Whole, wireSession.Subscribe = true, false, false
	session, ok = codec.FromWire(wireSession).(dissemination.SubscriptionHeartbeat)
	require.True(t, ok)
	require.Equal(t, []bool{true, false, false}, []bool{session.CoreMember, session.FullState, session.Subscribe})

	value = decodeRecorded(t, disseminationPrefix+"Push")
	wirePushed, ok := value.(wirePush)
	require.True(t, ok)
	push, ok := codec.FromWire(value).(dissemination.Push)
	require.True(t, ok)
	require.Equal(t, wirePushed.Life, push.Incarnation)
	require.Equal(t, wirePushed.Heard, push.HeartbeatsReceived)
	require.Equal(t, wirePushed.Stamp, push.Stamp)
	require.Equal(t, wirePushed.FromStamp, push.FromStamp)
	require.Equal(t, wirePushed.Version, push.Version)
	require.Equal(t, wirePushed.FromVersion, push.FromVersion)
	require.Equal(t, wirePushed.Instances[1].Instance.ColdUntil, push.Instances[1].Instance.WarmupRemaining)
	require.Equal(t, wirePushed.Nodes[1].Life, push.Routers[1].Incarnation)
	push, ok = codec.FromWire(wirePush{Whole: true}).(dissemination.Push)
	require.True(t, ok)
	require.Equal(t, dissemination.Push{FullState: true}, push)

	require.Equal(t, dissemination.QuotaRequest{Nonce: 1, Incarnation: 2, HeldShares: map[string]float64{"t": 3}},
		codec.FromWire(wireQuotaRequest{Nonce: 1, Life: 2, Held: map[string]float64{"t": 3}}))
	require.Equal(t, replication.Heartbeat{Number: 4, Committed: 5}, codec.FromWire(wireHeartbeat{Beat: 4, Committed: 5}))
	require.Equal(t, replication.HeartbeatAck{Number: 6, Leaving: true}, codec.FromWire(wireHeartbeatAck{Beat: 6, Leaving: true}))
	epoch := replication.Epoch{Round: 7, Node: "a"}
	require.Equal(t, replication.HeartbeatAck{KnownEpoch: epoch}, codec.FromWire(wireHeartbeatAck{Known: epoch}))
	require.Equal(t, replication.HeartbeatAck{HasDisk: true}, codec.FromWire(wireHeartbeatAck{Disk: true}))
	require.Equal(t, replication.PreVoteReply{LeaderContact: true}, codec.FromWire(wirePreVoteReply{Hears: true}))
}

// The server cache that the recorded version wrote to disk is read.
func TestRecordedServersAreRead(t *testing.T) {
	encoded, err := storage.ReadCache(recordedFolder, "servers.cache")
	require.NoError(t, err)
	servers, err := DecodeServers(encoded)
	require.NoError(t, err)
	asStored, err := json.Marshal(toWireUpdates(servers))
	require.NoError(t, err)
	require.JSONEq(t, string(readRecorded(t, "servers.json")), string(asStored))
	require.Equal(t, registry.Draining, servers[1].Instance.State)
	require.Equal(t, time.Second, servers[1].Age)

	again, err := EncodeServers(servers)
	require.NoError(t, err)
	decoded, err := DecodeServers(again)
	require.NoError(t, err)
	require.Equal(t, servers, decoded)
}

// All messages of package replication can be sent: a message that is not registered with gob would be dropped without
// an error.
func TestAllMessagesOfReplicationAreRegistered(t *testing.T) {
	codec := NewCodec()
	count := 0
	paths, err := filepath.Glob("../replication/*.go")
	require.NoError(t, err)
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		file, err := parser.ParseFile(token.NewFileSet(), path, text, 0)
		require.NoError(t, err)
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Name.Name == "replicationMessage" {
				count++
			}
		}
	}
	require.Len(t, replication.Messages(), count)
	for _, m := range replication.Messages() {
		body := codec.ToWire(m)
		var wire bytes.Buffer
		require.NoError(t, gob.NewEncoder(&wire).Encode(&body), "%T", m)
	}
}
