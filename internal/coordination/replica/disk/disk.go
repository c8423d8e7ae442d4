// Package disk persists the state of one replica: its hard state, its log, its last snapshot and the incarnation of the disk. The
// state is in a go.etcd.io/bbolt file, whose transactions are atomic: after a torn write the file has its previous state, or that of
// the transaction. Every record has a checksum of its own.
//
// Invariants: after Save has returned nil, the state survives a crash of the machine. Open returns only data that is as it was
// written; otherwise its error names the file and, where it is known, the offset or the record. The incarnation is drawn when the
// file is created, and never changes.
//
// A Disk is used by one goroutine, and its file by one process.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"
	"unsafe"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"petrelhook/internal/common/boltfile"
	"petrelhook/internal/coordination/replica"
)

const (
	fileName  = "replica.db"
	newSuffix = ".new" // of a file that is being created
	// restoredSuffix is that of the copy with which the last transaction of a file is read before it is restored.
	restoredSuffix = ".restored"
	lockTimeout    = time.Second // how long an open waits for a lock that another process holds
	// format identifies the files of this package. It contains the name that the program had when the format was introduced, and
	// must not change: existing files contain it.
	format = "petrelfleet 1"

	checksumSize = 4 // bytes, before the value of each record
	// logFillPercent is the fraction of a page that is filled before bbolt splits it. It is high because the log is written in
	// ascending order.
	logFillPercent = 0.9
)

// The buckets of a file, and the keys of its meta bucket. The keys of the log are indexes, big endian.
var (
	bucketLog, bucketMeta            = []byte("log"), []byte("meta")
	keyFormat, keyID, keyIncarnation = []byte("format"), []byte("id"), []byte("life")
	keyHardState, keySnapshot        = []byte("hard"), []byte("snapshot")
)

var (
	checksumTable = crc32.MakeTable(crc32.Castagnoli)

	errMissing = errors.New("missing: the replica's file is incomplete")
)

// Errors of Create and Open, wrapped with the path of the file.
var (
	// ErrExists is returned by Create if the folder holds a replica already.
	ErrExists = errors.New("a replica already exists")
	// ErrNoReplica is returned by Open if the folder holds no replica.
	ErrNoReplica = errors.New("no replica found")
	// ErrLocked is returned by Open if another process has locked the file.
	ErrLocked = errors.New("locked by another process")
	// ErrCorrupted is returned by Open if the file's content differs from what was written.
	ErrCorrupted = errors.New("corrupted")
	// ErrTruncated is returned by Open if the file is shorter than what was written.
	ErrTruncated = errors.New("truncated")
)

// Disk is the open file of one replica.
type Disk struct {
	db          *bbolt.DB
	path        string
	Incarnation string // of the disk, drawn when the file was created
	ID          uint64 // of the replica
}

// Exists reports whether a folder holds the file of a replica. It returns true if the file cannot be examined.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return !errors.Is(err, os.ErrNotExist)
}

// Create creates the file of a new replica with its initial state. It writes the file under another name and renames it, so that
// the file is either complete or absent. The error wraps ErrExists, or comes from the file system or bbolt.
func Create(dir string, id uint64, initial *replica.PersistedState) (err error) {
	path := filepath.Join(dir, fileName)
	if Exists(dir) {
		return fmt.Errorf("%s: %w", path, ErrExists)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	_ = os.Remove(path + newSuffix) // left by a process that died in Create; if it cannot be removed, its buckets make createBuckets fail
	db, err := bbolt.Open(path+newSuffix, 0o600, options())
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	d := &Disk{db: db, path: path}
	err = db.Update(func(tx *bbolt.Tx) error { return createBuckets(tx, id) })
	if err == nil {
		err = d.Save(replica.Ready{PersistedState: *initial})
	}
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.Rename(path+newSuffix, path); err != nil {
		return err
	}
	return syncDir(dir)
}

func createBuckets(tx *bbolt.Tx, id uint64) error {
	if _, err := tx.CreateBucket(bucketLog); err != nil {
		return err
	}
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return err
	}
	return errors.Join(
		put(meta, keyFormat, []byte(format)),
		put(meta, keyIncarnation, []byte(rand.Text())),
		put(meta, keyID, indexKey(id)))
}

// syncDir makes a rename in a folder durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Open opens the file of a replica and returns the state that it holds. Before the file is opened for writing, it is opened
// read-only and read completely, so a file that cannot be read is not changed. The error may wrap ErrNoReplica, ErrLocked,
// ErrCorrupted or ErrTruncated; other errors come from bbolt or the file system, or describe a file that is not a complete
// replica.
func Open(dir string) (d *Disk, persisted *replica.PersistedState, err error) {
	path := filepath.Join(dir, fileName)
	if !Exists(dir) {
		return nil, nil, fmt.Errorf("%s: %w", path, ErrNoReplica)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil { // bbolt panics at an invalid page, and reads beyond the end of the file fault
			d, persisted, err = nil, nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupted, r)
		}
	}()
	if info, err := os.Stat(path); err != nil || info.Size() == 0 { // bbolt would make a new file of it
		return nil, nil, errors.Join(err, fmt.Errorf("%s: offset 0: %w: the file is empty", path, ErrTruncated))
	}
	// Read-only first: for writing, bbolt builds the free list, and for that it trusts the structure of the file.
	readOnlyOptions := options()
	readOnlyOptions.ReadOnly = true
	readOnlyDisk, _, err := open(path, readOnlyOptions)
	if err != nil {
		return nil, nil, err
	}
	if err := readOnlyDisk.Close(); err != nil {
		return nil, nil, err
	}
	if err := verify(path); err != nil {
		return nil, nil, err
	}
	return open(path, options())
}

// verify checks the structure of a file, which bbolt follows on a goroutine of its own when it builds the free list, and restores its last
// transaction if the meta page of that is damaged or torn.
func verify(path string) error {
	lost, err := boltfile.Verify(path)
	if err == nil && lost != nil {
		err = restore(lost, path)
	}
	switch {
	case errors.Is(err, boltfile.ErrLocked):
		return fmt.Errorf("%s: %w", path, ErrLocked)
	case errors.Is(err, boltfile.ErrDamaged):
		return fmt.Errorf("%s: %w: %v", path, ErrCorrupted, err) //nolint:errorlint // callers match the errors of this package alone
	}
	return err
}

// restore completes the last transaction of a file, if the state can be read in a copy of the file.
func restore(lost *boltfile.LostCommit, path string) error {
	restored := path + restoredSuffix
	defer func() { _ = os.Remove(restored) }() // one that stays is overwritten the next time
	if err := lost.WriteCopy(restored); err != nil {
		return err
	}
	readOnlyOptions := options()
	readOnlyOptions.ReadOnly = true
	d, _, err := open(restored, readOnlyOptions)
	if err != nil {
		return err
	}
	if err := d.Close(); err != nil {
		return err
	}
	return lost.Restore()
}

// open opens an existing file and reads the state in it.
func open(path string, boltOptions *bbolt.Options) (*Disk, *replica.PersistedState, error) {
	db, err := bbolt.Open(path, 0o600, boltOptions)
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("%s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: offset 0: %w", path, err)
	}
	d, persisted := &Disk{db: db, path: path}, &replica.PersistedState{}
	if err := db.View(func(tx *bbolt.Tx) error { return d.read(tx, persisted) }); err != nil {
		return nil, nil, errors.Join(err, db.Close())
	}
	return d, persisted, nil
}

// options returns the bbolt options for every open of a file. The free list is built at each start and not stored, so it cannot
// be corrupted.
func options() *bbolt.Options {
	return &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true}
}

func (d *Disk) read(tx *bbolt.Tx, persisted *replica.PersistedState) error {
	if info, err := os.Stat(d.path); err != nil {
		return err
	} else if info.Size() < tx.Size() {
		return fmt.Errorf("%s: offset %d: %w: the file should have %d bytes", d.path, info.Size(), ErrTruncated, tx.Size())
	}
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return fmt.Errorf("%s: offset 0: the file holds no replica", d.path)
	}
	if err := d.readMeta(meta, persisted); err != nil {
		return err
	}
	return d.readLog(log, persisted)
}

// readMeta reads the records of the meta bucket. A replica that will be added to a group has no hard state and no snapshot yet.
func (d *Disk) readMeta(meta *bbolt.Bucket, persisted *replica.PersistedState) error {
	formatName, err := d.required(meta, keyFormat)
	if err != nil {
		return err
	}
	if string(formatName) != format {
		return fmt.Errorf("%s: %s: %q; this version reads %q", d.path, keyFormat, formatName, format)
	}
	incarnation, err := d.required(meta, keyIncarnation)
	if err != nil {
		return err
	}
	d.Incarnation = string(incarnation)
	id, err := d.required(meta, keyID)
	if err != nil {
		return err
	}
	if len(id) != 8 {
		return fmt.Errorf("%s: %s: %d bytes instead of 8", d.path, keyID, len(id))
	}
	d.ID = binary.BigEndian.Uint64(id)
	hardState, snapshot := &pb.HardState{}, &pb.Snapshot{}
	if found, err := d.optional(meta, keyHardState, hardState); err != nil {
		return err
	} else if found {
		persisted.HardState = hardState
	}
	if found, err := d.optional(meta, keySnapshot, snapshot); err != nil {
		return err
	} else if found {
		persisted.Snapshot = snapshot
	}
	return nil
}

// required returns the value of a record of the meta bucket that every replica has; a missing record is an error.
func (d *Disk) required(meta *bbolt.Bucket, key []byte) ([]byte, error) {
	value, err := d.verified(key, meta.Get(key))
	if err == nil && value == nil {
		err = errMissing
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %s: %w", d.path, key, err)
	}
	return value, nil
}

// optional decodes a record of the meta bucket into message; found is false if there is no record.
func (d *Disk) optional(meta *bbolt.Bucket, key []byte, message proto.Message) (found bool, err error) {
	value, err := d.verified(key, meta.Get(key))
	if err == nil && value != nil {
		found, err = true, proto.Unmarshal(value, message)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %s: %w", d.path, key, err)
	}
	return found, nil
}

// readLog reads the entries of the log and checks that their indexes match their keys and have no gap.
func (d *Disk) readLog(log *bbolt.Bucket, persisted *replica.PersistedState) error {
	var last uint64
	return log.ForEach(func(key, value []byte) error {
		index := binary.BigEndian.Uint64(key)
		e := &pb.Entry{}
		value, err := d.verified(key, value)
		if err == nil {
			err = proto.Unmarshal(value, e)
		}
		if err == nil && (e.GetIndex() != index || last != 0 && index != last+1) {
			err = fmt.Errorf("the entry has index %d, after an entry with index %d", e.GetIndex(), last)
		}
		if err != nil {
			return fmt.Errorf("%s: entry %d: %w", d.path, index, err)
		}
		last = e.GetIndex()
		persisted.Entries = append(persisted.Entries, e)
		return nil
	})
}

// verified returns a copy of a record's value without the checksum in front of it; nil if there is no record. The checksum covers
// the key and the value.
func (d *Disk) verified(key, record []byte) ([]byte, error) {
	if record == nil {
		return nil, nil
	}
	offset := uintptr(unsafe.Pointer(unsafe.SliceData(record))) - d.db.Info().Data // offset in the file, which bbolt maps into memory
	if len(record) < checksumSize || binary.BigEndian.Uint32(record) != checksum(key, record[checksumSize:]) {
		return nil, fmt.Errorf("offset %d: %w: the checksum does not match", offset, ErrCorrupted)
	}
	return append([]byte(nil), record[checksumSize:]...), nil
}

func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, checksumTable), checksumTable, value)
}

func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, checksum(key, value)), value...))
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Save durably persists the state of a Ready. After an error the content of the disk is unknown, and the process has to stop.
func (d *Disk) Save(ready replica.Ready) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if ready.Snapshot != nil {
			if err := putMessage(meta, keySnapshot, ready.Snapshot); err != nil {
				return err
			}
			if err := deleteFirst(log, func(uint64) bool { return true }); err != nil { // a snapshot from the leader is ahead of the complete log
				return err
			}
		}
		if ready.HardState != nil {
			if err := putMessage(meta, keyHardState, ready.HardState); err != nil {
				return err
			}
		}
		if len(ready.Entries) == 0 {
			return nil
		}
		return appendEntries(log, ready.Entries)
	})
}

// appendEntries writes entries, and deletes the entries after the last of them, which an earlier leader had proposed.
func appendEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	first, last := entries[0].GetIndex(), entries[len(entries)-1].GetIndex()
	c := log.Cursor()
	for key, _ := c.Seek(indexKey(last + 1)); key != nil; key, _ = c.Seek(indexKey(last + 1)) {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	log.FillPercent = logFillPercent
	for i, e := range entries {
		if err := putMessage(log, indexKey(first+uint64(i)), e); err != nil {
			return err
		}
	}
	return nil
}

// SaveSnapshot durably persists a snapshot that the replica has made of its own state, and deletes the log up to and including
// compactIndex. After an error the content of the disk is unknown, as with Save.
func (d *Disk) SaveSnapshot(snapshot *pb.Snapshot, compactIndex uint64) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if err := putMessage(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		return deleteFirst(log, func(index uint64) bool { return index <= compactIndex })
	})
}

func putMessage(b *bbolt.Bucket, key []byte, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return put(b, key, value)
}

// deleteFirst deletes entries from the start of the log up to the first one that does not match.
func deleteFirst(log *bbolt.Bucket, match func(index uint64) bool) error {
	c := log.Cursor()
	for key, _ := c.First(); key != nil && match(binary.BigEndian.Uint64(key)); key, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (d *Disk) update(f func(meta, log *bbolt.Bucket) error) error {
	err := d.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := meta.SetSequence(uint64(tx.ID())); err != nil { // by that number the transaction is found where its meta page is damaged
			return err
		}
		return f(meta, tx.Bucket(bucketLog))
	})
	if err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// Close closes the file and releases its lock.
func (d *Disk) Close() error { return d.db.Close() }
