// Package disk persists one replica: its hard state, log, last snapshot, and the incarnation of the disk. It is a go.etcd.io/bbolt file,
// whose transactions are atomic: after a torn write the file has its earlier state. Every record has a checksum of its own.
//
// Invariants: what Save has returned from without an error survives a crash of the machine. What is read was written as it is, else Open
// says in which file, and at which offset, it is not. The incarnation is drawn when the file is made, and never again.
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

	"petrelhook/internal/coordination/replica"
)

const (
	fileName    = "replica.db"
	newSuffix   = ".new" // of a file that is being made
	lockTimeout = time.Second
	// format marks the files of this package. It is the name that the program had when the format was made, and is on the disks.
	format = "petrelfleet 1"

	checksumSize = 4 // bytes, before the value of each record
	// logFillPercent is how full pages of the log become: it is written in ascending order.
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

	errMissing = errors.New("missing: this is not all of a replica")
)

// Errors of Create and Open, wrapped with the path of the file.
var (
	// ErrExists says that the folder has a replica already.
	ErrExists = errors.New("there is a replica already")
	// ErrNoReplica says that the folder has no replica.
	ErrNoReplica = errors.New("there is no replica")
	// ErrLocked says that another process uses the replica.
	ErrLocked = errors.New("another process has it")
	// ErrDamaged says that the file's content is not what was written.
	ErrDamaged = errors.New("damaged")
	// ErrTruncated says that the file is shorter than what was written.
	ErrTruncated = errors.New("cut off")
)

// Disk is an open file.
type Disk struct {
	db          *bbolt.DB
	path        string
	Incarnation string
	ID          uint64 // of the replica
}

// Exists reports whether a folder holds a replica.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return !errors.Is(err, os.ErrNotExist)
}

// Create makes the file of a new replica. It is made under another name and renamed, so that there is all of it or none. The error is
// ErrExists or one of the disk.
func Create(dir string, id uint64, initial *replica.PersistedState) (err error) {
	path := filepath.Join(dir, fileName)
	if Exists(dir) {
		return fmt.Errorf("%s: %w", path, ErrExists)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	_ = os.Remove(path + newSuffix) // what a process left that died in Create; if it stays, its buckets make this one fail
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

// Open reads a replica. An error says where the file is not what was written, and nothing is changed then. Callers may tell
// ErrNoReplica, ErrLocked, ErrDamaged and ErrTruncated apart; others come from bbolt or from the system.
func Open(dir string) (d *Disk, persisted *replica.PersistedState, err error) {
	path := filepath.Join(dir, fileName)
	if !Exists(dir) {
		return nil, nil, fmt.Errorf("%s: %w", path, ErrNoReplica)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil { // bbolt panics at a page that is not one, and faults beyond the end of the file
			d, persisted, err = nil, nil, fmt.Errorf("%s: %w: %v", path, ErrDamaged, r)
		}
	}()
	if info, err := os.Stat(path); err != nil || info.Size() == 0 { // bbolt would make a new file of it
		return nil, nil, errors.Join(err, fmt.Errorf("%s: offset 0: %w: it is empty", path, ErrTruncated))
	}
	// First without the free list, which bbolt makes from pages whose content it trusts.
	readOnly := options()
	readOnly.ReadOnly = true
	check, _, err := open(path, readOnly)
	if err != nil {
		return nil, nil, err
	}
	if err := check.Close(); err != nil {
		return nil, nil, err
	}
	return open(path, options())
}

// open opens and reads a file that exists.
func open(path string, o *bbolt.Options) (*Disk, *replica.PersistedState, error) {
	db, err := bbolt.Open(path, 0o600, o)
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

// options returns those of every open of a file. The free list is built at each start and not stored, so that it cannot be damaged.
func options() *bbolt.Options {
	return &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true}
}

func (d *Disk) read(tx *bbolt.Tx, persisted *replica.PersistedState) error {
	if info, err := os.Stat(d.path); err != nil {
		return err
	} else if info.Size() < tx.Size() {
		return fmt.Errorf("%s: offset %d: %w; %d bytes belong to it", d.path, info.Size(), ErrTruncated, tx.Size())
	}
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return fmt.Errorf("%s: offset 0: no replica is in it", d.path)
	}
	if err := d.readMeta(meta, persisted); err != nil {
		return err
	}
	return d.readLog(log, persisted)
}

// readMeta reads the records of the meta bucket. A replica that is to be added to a group has no hard state and no snapshot yet.
func (d *Disk) readMeta(meta *bbolt.Bucket, persisted *replica.PersistedState) error {
	mark, err := d.required(meta, keyFormat)
	if err != nil {
		return err
	}
	if string(mark) != format {
		return fmt.Errorf("%s: %s: %q, ours is %q", d.path, keyFormat, mark, format)
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
		return fmt.Errorf("%s: %s: %d bytes", d.path, keyID, len(id))
	}
	d.ID = binary.BigEndian.Uint64(id)
	hard, snapshot := &pb.HardState{}, &pb.Snapshot{}
	if found, err := d.optional(meta, keyHardState, hard); err != nil {
		return err
	} else if found {
		persisted.HardState = hard
	}
	if found, err := d.optional(meta, keySnapshot, snapshot); err != nil {
		return err
	} else if found {
		persisted.Snapshot = snapshot
	}
	return nil
}

// required returns the value of a record that every replica has.
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

// optional decodes a record into m; found is false where there is none.
func (d *Disk) optional(meta *bbolt.Bucket, key []byte, m proto.Message) (found bool, err error) {
	value, err := d.verified(key, meta.Get(key))
	if err == nil && value != nil {
		found, err = true, proto.Unmarshal(value, m)
	}
	if err != nil {
		return false, fmt.Errorf("%s: %s: %w", d.path, key, err)
	}
	return found, nil
}

// readLog reads the entries, which are numbered without a gap.
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
			err = fmt.Errorf("it is numbered %d, after %d", e.GetIndex(), last)
		}
		if err != nil {
			return fmt.Errorf("%s: entry %d: %w", d.path, index, err)
		}
		last = e.GetIndex()
		persisted.Entries = append(persisted.Entries, e)
		return nil
	})
}

// verified returns a copy of a record's value without its checksum, which covers the key too; nil where there is no record.
func (d *Disk) verified(key, record []byte) ([]byte, error) {
	if record == nil {
		return nil, nil
	}
	offset := uintptr(unsafe.Pointer(unsafe.SliceData(record))) - d.db.Info().Data // the file is mapped
	if len(record) < checksumSize || binary.BigEndian.Uint32(record) != checksum(key, record[checksumSize:]) {
		return nil, fmt.Errorf("offset %d: %w: the checksum does not match", offset, ErrDamaged)
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

// Save persists what a Ready has to have persisted, durably. After an error nothing is known of what is on the disk: the process has to
// end.
func (d *Disk) Save(ready replica.Ready) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if ready.Snapshot != nil {
			if err := putMessage(meta, keySnapshot, ready.Snapshot); err != nil {
				return err
			}
			if err := deleteFirst(log, func(uint64) bool { return true }); err != nil { // the snapshot is ahead of all of the log
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

// appendEntries writes entries, and deletes those behind them, which another leader had proposed.
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

// SaveSnapshot persists a snapshot that the replica has made, and deletes the log up to and including an index.
func (d *Disk) SaveSnapshot(s *pb.Snapshot, compact uint64) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if err := putMessage(meta, keySnapshot, s); err != nil {
			return err
		}
		return deleteFirst(log, func(index uint64) bool { return index <= compact })
	})
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, value)
}

// deleteFirst deletes entries from the first one on, as long as they match.
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
	err := d.db.Update(func(tx *bbolt.Tx) error { return f(tx.Bucket(bucketMeta), tx.Bucket(bucketLog)) })
	if err != nil {
		return fmt.Errorf("%s: %w", d.path, err)
	}
	return nil
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }
