// Package disk keeps one replica on a disk: its hard state, log, last snapshot, and the name of the disk's life. It is a
// go.etcd.io/bbolt file, in which a write is whole or was not: a torn tail is an earlier state. Every record has a checksum of its own.
//
// Invariants: what Save has returned from without an error survives a crash of the machine; what is read was written as it is, else
// Open says in which file, and at which offset, it is not; a life is drawn when the file is made, and never again.
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
	fileName = "replica.db"
	lockTime = time.Second
	// format marks the files of this package. It is the name that the program had when the format was made, and is on the disks.
	format = "petrelfleet 1"
)

var (
	bucketLog, bucketMeta     = []byte("log"), []byte("meta")
	keyFormat, keyID, keyLife = []byte("format"), []byte("id"), []byte("life")
	keyHard, keySnapshot      = []byte("hard"), []byte("snapshot")
	table                     = crc32.MakeTable(crc32.Castagnoli)
	errNone                   = errors.New("there is no replica")
)

// Disk is an open file.
type Disk struct {
	db          *bbolt.DB
	path        string
	Incarnation string
	ID          uint64
}

// Exists reports whether a folder holds a replica.
func Exists(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, fileName))
	return !errors.Is(err, os.ErrNotExist)
}

// Create makes the file of a replica that begins. It is made beside and renamed, so that there is all of it or none.
func Create(dir string, id uint64, first *replica.PersistedState) (err error) {
	if Exists(dir) {
		return fmt.Errorf("%s: there is a replica already", filepath.Join(dir, fileName))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(dir, fileName)
	os.Remove(path + ".new")
	db, err := bbolt.Open(path+".new", 0o600, options())
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	d := &Disk{db: db, path: path}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		meta, err := tx.CreateBucket(bucketMeta)
		if err != nil {
			return err
		}
		return errors.Join(put(meta, keyFormat, []byte(format)), put(meta, keyLife, []byte(rand.Text())), put(meta, keyID, binary.BigEndian.AppendUint64(nil, id)))
	})
	if err == nil {
		err = d.Save(replica.Ready{PersistedState: *first})
	}
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Open reads a replica. What is damaged is an error that names the offset, and nothing is changed.
func Open(dir string) (d *Disk, kept *replica.PersistedState, err error) {
	path := filepath.Join(dir, fileName)
	if !Exists(dir) {
		return nil, nil, fmt.Errorf("%s: %w", path, errNone)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil { // the library meets a page that is none
			d, kept, err = nil, nil, fmt.Errorf("%s: damaged: %v", path, r)
		}
	}()
	if info, err := os.Stat(path); err != nil || info.Size() == 0 { // the library would make a new one of it
		return nil, nil, errors.Join(err, fmt.Errorf("%s: offset 0: cut off: it is empty", path))
	}
	look := options() // first without the list of free pages, which the library makes from pages that it trusts
	look.ReadOnly = true
	for _, o := range []*bbolt.Options{look, options()} {
		db, err := bbolt.Open(path, 0o600, o)
		if errors.Is(err, berrors.ErrTimeout) {
			return nil, nil, fmt.Errorf("%s: another process has it", path)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s: offset 0: %w", path, err)
		}
		d, kept = &Disk{db: db, path: path}, &replica.PersistedState{}
		if err := db.View(func(tx *bbolt.Tx) error { return d.read(tx, kept) }); err != nil {
			return nil, nil, errors.Join(err, db.Close())
		}
		if o == look {
			if err := db.Close(); err != nil {
				return nil, nil, err
			}
		}
	}
	return d, kept, nil
}

// options: the list of free pages is made anew at each start, so that it cannot be damaged.
func options() *bbolt.Options {
	return &bbolt.Options{Timeout: lockTime, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true}
}

func (d *Disk) read(tx *bbolt.Tx, kept *replica.PersistedState) error {
	if info, err := os.Stat(d.path); err != nil {
		return err
	} else if info.Size() < tx.Size() {
		return fmt.Errorf("%s: offset %d: cut off; %d bytes belong to it", d.path, info.Size(), tx.Size())
	}
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return fmt.Errorf("%s: offset 0: no replica is in it", d.path)
	}
	for key, take := range map[string]func([]byte) error{
		string(keyFormat): func(v []byte) error {
			if string(v) != format {
				return fmt.Errorf("%q, ours is %q", v, format)
			}
			return nil
		},
		string(keyLife): func(v []byte) error { d.Incarnation = string(v); return nil },
		string(keyID): func(v []byte) error {
			if len(v) != 8 {
				return fmt.Errorf("%d bytes", len(v))
			}
			d.ID = binary.BigEndian.Uint64(v)
			return nil
		},
		string(keyHard): func(v []byte) error { kept.HardState = &pb.HardState{}; return proto.Unmarshal(v, kept.HardState) },
		string(keySnapshot): func(v []byte) error {
			kept.Snapshot = &pb.Snapshot{}
			return proto.Unmarshal(v, kept.Snapshot)
		},
	} {
		v, err := d.checked([]byte(key), meta.Get([]byte(key)))
		switch {
		case err == nil && v != nil:
			err = take(v)
		case err == nil && key != string(keyHard) && key != string(keySnapshot): // one that is to be added has neither yet
			err = errors.New("missing: this is not all of a replica")
		}
		if err != nil {
			return fmt.Errorf("%s: %s: %w", d.path, key, err)
		}
	}
	var last uint64
	return log.ForEach(func(k, v []byte) error {
		e := &pb.Entry{}
		v, err := d.checked(k, v)
		if err == nil {
			err = proto.Unmarshal(v, e)
		}
		if index := binary.BigEndian.Uint64(k); err == nil && (e.GetIndex() != index || last != 0 && index != last+1) {
			err = fmt.Errorf("it is numbered %d, after %d", e.GetIndex(), last)
		}
		if err != nil {
			return fmt.Errorf("%s: entry %d: %w", d.path, binary.BigEndian.Uint64(k), err)
		}
		last = e.GetIndex()
		kept.Entries = append(kept.Entries, e)
		return nil
	})
}

// checked is a record without its checksum, which covers the key too.
func (d *Disk) checked(k, v []byte) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	at := uintptr(unsafe.Pointer(unsafe.SliceData(v))) - d.db.Info().Data // the file is mapped
	if len(v) < 4 || binary.BigEndian.Uint32(v) != sum(k, v[4:]) {
		return nil, fmt.Errorf("offset %d: damaged: the checksum does not fit", at)
	}
	return append([]byte(nil), v[4:]...), nil
}

func sum(k, v []byte) uint32 { return crc32.Update(crc32.Checksum(k, table), table, v) }

func put(b *bbolt.Bucket, k, v []byte) error {
	return b.Put(k, append(binary.BigEndian.AppendUint32(nil, sum(k, v)), v...))
}

// Save keeps what a work has to have kept, durably. After an error nothing is known of the disk: the process has to end.
func (d *Disk) Save(w replica.Ready) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if w.Snapshot != nil {
			if err := d.putSnapshot(meta, w.Snapshot); err != nil {
				return err
			}
			if err := cut(log, func(uint64) bool { return true }); err != nil { // it is of the past, or of another's
				return err
			}
		}
		if w.HardState != nil {
			text, err := proto.Marshal(w.HardState)
			if err != nil {
				return err
			}
			if err := put(meta, keyHard, text); err != nil {
				return err
			}
		}
		if len(w.Entries) == 0 {
			return nil
		}
		first, last := w.Entries[0].GetIndex(), w.Entries[len(w.Entries)-1].GetIndex()
		c := log.Cursor()
		for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, last+1)); k != nil; k, _ = c.Seek(binary.BigEndian.AppendUint64(nil, last+1)) {
			if err := log.Delete(k); err != nil { // what another leader had proposed
				return err
			}
		}
		log.FillPercent = 0.9 // it is written in order
		for i, e := range w.Entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := put(log, binary.BigEndian.AppendUint64(nil, first+uint64(i)), text); err != nil {
				return err
			}
		}
		return nil
	})
}

// SaveSnapshot keeps a snapshot of the replica's own, and cuts the log before an index.
func (d *Disk) SaveSnapshot(s *pb.Snapshot, compact uint64) error {
	return d.update(func(meta, log *bbolt.Bucket) error {
		if err := d.putSnapshot(meta, s); err != nil {
			return err
		}
		return cut(log, func(index uint64) bool { return index <= compact })
	})
}

func (d *Disk) putSnapshot(meta *bbolt.Bucket, s *pb.Snapshot) error {
	text, err := proto.Marshal(s)
	if err != nil {
		return err
	}
	return put(meta, keySnapshot, text)
}

// cut deletes the first entries that fit.
func cut(log *bbolt.Bucket, fits func(uint64) bool) error {
	c := log.Cursor()
	for k, _ := c.First(); k != nil && fits(binary.BigEndian.Uint64(k)); k, _ = c.First() {
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
