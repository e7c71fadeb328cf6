package rig

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// What a node can find in its state folder when it starts again.
const (
	StateSame  = "same"
	StateEmpty = "empty"
	StateTorn  = "torn"  // each file ends halfway
	StateOlder = "older" // as it was when the plan's load began
	StateFull  = "full"  // no file may grow beyond fullAt bytes
)

// fullAt is the size beyond which a node with a full disk can't write. It is
// a limit on files (RLIMIT_FSIZE), the nearest to a full disk that needs no
// rights.
const fullAt = 512

// tamper changes a state folder as one of the words above says. older is the
// folder's earlier copy.
func tamper(dir, older, how string) error {
	switch how {
	case StateSame, StateFull, "":
		return nil
	case StateEmpty:
		return empty(dir)
	case StateTorn:
		return files(dir, func(path string, info fs.FileInfo) error { return os.Truncate(path, info.Size()/2) })
	case StateOlder:
		if err := empty(dir); err != nil {
			return err
		}
		return copyTree(older, dir)
	}
	return fmt.Errorf("unknown state %q", how)
}

func empty(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	var all error
	for _, e := range entries {
		all = errors.Join(all, os.RemoveAll(filepath.Join(dir, e.Name())))
	}
	return all
}

func files(dir string, each func(path string, info fs.FileInfo) error) error {
	return filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		info, err := d.Info()
		if err != nil {
			return err
		}
		return each(path, info)
	})
}

// copyTree copies the regular files of a folder.
func copyTree(from, to string) error {
	return files(from, func(path string, info fs.FileInfo) error {
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		target := filepath.Join(to, rel)
		if err := os.MkdirAll(filepath.Dir(target), 0o700); err != nil {
			return err
		}
		return os.WriteFile(target, data, info.Mode().Perm())
	})
}
