package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const logName = "test.log"

// readLog returns the records of the log in a folder as strings, and the number of damaged lines.
func readLog(t *testing.T, folder string) (records []string, damaged int) {
	t.Helper()
	read, damaged, err := ReadRecords(folder, logName)
	require.NoError(t, err)
	for _, record := range read {
		records = append(records, string(record))
	}
	return records, damaged
}

// writeLog writes a log with the records "one", "two" and "three" and returns the content of the file.
func writeLog(t *testing.T, folder string) []byte {
	t.Helper()
	l := NewRecordLog(folder, logName)
	require.ErrorIs(t, l.Append([][]byte{[]byte("early")}), ErrRecordLogClosed)
	require.NoError(t, l.Replace([][]byte{[]byte("one")}))
	require.NoError(t, l.Append([][]byte{[]byte("two"), []byte("three")}))
	require.NoError(t, l.Close())
	stored, err := os.ReadFile(filepath.Join(folder, logName))
	require.NoError(t, err)
	return stored
}

func TestRecordsAreRead(t *testing.T) {
	folder := t.TempDir()
	_, _, err := ReadRecords(folder, logName)
	require.ErrorIs(t, err, os.ErrNotExist)
	writeLog(t, folder)
	records, damaged := readLog(t, folder)
	require.Equal(t, []string{"one", "two", "three"}, records)
	require.Zero(t, damaged)
	l := NewRecordLog(folder, logName)
	require.NoError(t, l.Replace([][]byte{[]byte("four")}))
	require.NoError(t, l.Append([][]byte{[]byte("five")}))
	require.NoError(t, l.Close())
	records, _ = readLog(t, folder)
	require.Equal(t, []string{"four", "five"}, records)
}

// A file that is cut off anywhere has all records before the cut.
func TestACutOffLogHasTheRecordsBeforeTheCut(t *testing.T) {
	folder := t.TempDir()
	stored := writeLog(t, folder)
	for length := range len(stored) {
		require.NoError(t, os.WriteFile(filepath.Join(folder, logName), stored[:length], 0o600))
		complete := bytes.Count(stored[:length], []byte{recordSeparator})
		records, damaged := readLog(t, folder)
		require.Equal(t, []string{"one", "two", "three"}[:complete], append([]string{}, records...), length)
		isCut := length > 0 && stored[length-1] != recordSeparator
		require.Equal(t, isCut, damaged == 1, length)
	}
}

// A damaged byte costs the record that it is in, and its neighbour where it separates the two.
func TestADamagedByteCostsNoOtherRecord(t *testing.T) {
	folder := t.TempDir()
	stored := writeLog(t, folder)
	for i := range stored {
		damagedFile := bytes.Clone(stored)
		damagedFile[i] ^= 1
		require.NoError(t, os.WriteFile(filepath.Join(folder, logName), damagedFile, 0o600))
		records, damaged := readLog(t, folder)
		require.NotZero(t, damaged, i)
		require.GreaterOrEqual(t, len(records), 1, fmt.Sprintf("byte %d: %q", i, damagedFile))
		require.Subset(t, []string{"one", "two", "three"}, records, i)
	}
}

// A write that fails closes the log, so that nothing is appended behind half a record.
func TestAFailedWriteClosesTheLog(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	require.NoError(t, os.Mkdir(folder, 0o700))
	l := NewRecordLog(folder, logName)
	require.NoError(t, l.Replace(nil))
	require.NoError(t, l.file.Close()) // the next write fails
	require.Error(t, l.Append([][]byte{[]byte("one")}))
	require.ErrorIs(t, l.Append([][]byte{[]byte("one")}), ErrRecordLogClosed)
	require.NoError(t, l.Replace([][]byte{[]byte("two")}))
	require.NoError(t, os.RemoveAll(folder))
	require.Error(t, l.Replace([][]byte{[]byte("three")}))
	require.ErrorIs(t, l.Append([][]byte{[]byte("three")}), ErrRecordLogClosed)
}
