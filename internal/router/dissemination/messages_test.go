package dissemination

import (
	"bytes"
	"encoding/gob"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/router/replication"
)

// Each type that is a message of replication can go over the wire: one that gob does not know would be dropped without a word.
func TestAllMessagesOfReplicationAreRegistered(t *testing.T) {
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
		var body any = m
		var wire bytes.Buffer
		require.NoError(t, gob.NewEncoder(&wire).Encode(&body), "%T", m)
	}
}
