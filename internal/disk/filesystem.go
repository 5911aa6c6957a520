package disk

import (
	"errors"
	"io"
	"os"
)

// File is an open file of a FileSystem. *os.File implements it.
type File interface {
	io.ReadWriteSeeker
	io.WriterAt
	io.Closer
	Name() string
	Sync() error
	Truncate(size int64) error
}

// FileSystem is the file system through which a Store writes. Tests replace it
// to make single operations fail.
type FileSystem interface {
	// Create opens an empty file.
	Create(path string) (File, error)
	// OpenAppend opens a file for appending and creates it if it is missing.
	OpenAppend(path string) (File, error)
	Remove(path string) error
	Rename(from, to string) error
	// SyncDir makes created, renamed and removed names of a directory durable.
	SyncDir(dir string) error
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, filePerm)
}

// OpenAppend implements FileSystem.
func (OSFileSystem) OpenAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
}

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// SyncDir implements FileSystem.
func (OSFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
