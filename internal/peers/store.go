package peers

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/zeebo/xxh3"

	"indigotack/internal/view"
)

const (
	stateFile   = "view.json"
	stateFormat = "indigotack view 1"
	newSuffix   = ".new-*" // of a file that is being written
	maxState    = 8 << 20  // bytes; ten thousand members take a quarter
)

// state is what a node keeps over its restarts.
type state struct {
	Format  string      `json:"format"`
	Name    string      `json:"name"`
	Start   uint64      `json:"start"` // of the last run
	Members []view.Info `json:"members"`
}

// sealed is a state as it is on the disk, with a sum that shows what is torn.
type sealed struct {
	Sum   string          `json:"sum"` // XXH3 of the state's text
	State json.RawMessage `json:"state"`
}

func sum(b []byte) string { return fmt.Sprintf("%016x", xxh3.Hash(b)) }

// loadState reads what a node kept. No file is an empty state; one that is
// torn, too large, of another form or of another node is an error, and is moved
// aside so that nothing is lost.
func loadState(dir, name string) (state, error) {
	removeLeftovers(dir)
	path := filepath.Join(dir, stateFile)
	s, err := readState(path, name)
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, fs.ErrNotExist):
		return state{}, nil
	}
	err = fmt.Errorf("%s: %w", path, err)
	if aside := os.Rename(path, path+".refused"); aside != nil {
		err = errors.Join(err, aside)
	}
	return state{}, err
}

// removeLeftovers removes what writes that were never finished have left.
func removeLeftovers(dir string) {
	leftovers, _ := filepath.Glob(filepath.Join(dir, stateFile+newSuffix)) // the pattern is sound
	for _, path := range leftovers {
		os.Remove(path) // it is tried again at the next start
	}
}

// mayPass tells whether a failure to write is one of the disk, which may be over
// soon, rather than of the folder's name or rights.
func mayPass(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EROFS)
}

func readState(path, name string) (s state, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return s, err
	}
	if info.Size() > maxState {
		return s, fmt.Errorf("%d bytes, at most %d", info.Size(), maxState)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	var seal sealed
	if err := json.Unmarshal(text, &seal); err != nil {
		return s, fmt.Errorf("torn or of another kind: %w", err)
	}
	if seal.Sum != sum(seal.State) {
		return s, fmt.Errorf("its sum is %s and not %q: torn or changed", sum(seal.State), seal.Sum)
	}
	if err := json.Unmarshal(seal.State, &s); err != nil {
		return state{}, err
	}
	switch {
	case s.Format != stateFormat:
		return state{}, fmt.Errorf("format %q, want %q", s.Format, stateFormat)
	case s.Name != name:
		return state{}, fmt.Errorf("it is the state of %q, not of %q: each node needs a folder of its own", s.Name, name)
	case len(s.Members) > view.MaxMembers:
		return state{}, fmt.Errorf("%d members, at most %d", len(s.Members), view.MaxMembers)
	}
	return s, nil
}

// save writes the state so that after a crash there is the old one or the new.
func (s state) save(dir string) error {
	s.Format = stateFormat
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	text, err = json.Marshal(sealed{sum(text), text})
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil { // it may have failed at the start
		return err
	}
	f, err := os.CreateTemp(dir, stateFile+newSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, stateFile))
	}
	if err != nil {
		return errors.Join(err, os.Remove(f.Name()))
	}
	return nil
}
