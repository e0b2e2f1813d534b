// Package reloader keeps TLS key files in use and reads them again when they
// change, so that keys are replaced without a restart.
package reloader

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Reloader holds one certificate with its key and, for mutual TLS, the
// authorities that the other side's certificate must come from. Create it
// with New; it is safe for concurrent use.
type Reloader struct {
	files Files

	mu   sync.Mutex
	held material
	// complained is the last error that was logged since the files were last
	// read whole. Each connection reads files that are unusable again, and the
	// log shall not grow with connections.
	complained string
}

// Files are the names of PEM files. The zero value means no TLS.
type Files struct {
	// CertFile and KeyFile are the own certificate and its key; both are set
	// or neither is.
	CertFile string `toml:"cert_file" validate:"required_with=KeyFile CAFile"`
	KeyFile  string `toml:"key_file" validate:"required_with=CertFile"`
	// CAFile holds the authorities of the other side. Where it is set, the
	// other side must show a certificate of theirs.
	CAFile string `toml:"ca_file"`
}

// Enabled tells whether the files ask for TLS.
func (f Files) Enabled() bool {
	return f.CertFile != ""
}

// material is what the files held when they were last read.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// stamps tell whether a file has changed since.
	stamps stamps
}

// stamp is what tells one content of a file from the next.
type stamp struct {
	changed time.Time
	size    int64
}

// stamps are those of the certificate, the key and the authorities. A file
// that is put in place with an old time of change counts as changed too.
type stamps [3]stamp

// New reads the files once, so that a mistake shows at the start.
func New(files Files) (r *Reloader, err error) {
	r = &Reloader{files: files}
	found, err := files.stamps()
	if err != nil {
		return nil, err
	}
	if r.held, err = read(files, found); err != nil {
		return nil, err
	}
	return r, nil
}

// Server returns a configuration for listening sockets. Each connection sees
// the files as they are when it opens.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := r.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{now.certificate}}
			if now.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = now.authorities
			}
			return config, nil
		},
	}
}

// Client returns a configuration for one outgoing connection.
func (r *Reloader) Client() *tls.Config {
	now := r.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authorities,
	}
}

// current returns the material, read again where a file has changed. Files
// that cannot be read leave the old material in use.
func (r *Reloader) current() material {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, err := r.files.stamps()
	if err == nil && found == r.held.stamps {
		return r.held
	}
	var fresh material
	if err == nil {
		fresh, err = read(r.files, found)
	}
	if err != nil {
		r.complain(err)
		return r.held
	}
	klog.InfoS("TLS key files read again", "cert_file", r.files.CertFile)
	r.held, r.complained = fresh, ""
	return r.held
}

// complain logs an error unless the one before was the same.
func (r *Reloader) complain(err error) {
	if r.complained == err.Error() {
		return
	}
	r.complained = err.Error()
	klog.ErrorS(err, "the old TLS key files stay in use")
}

func (f Files) stamps() (found stamps, err error) {
	for i, name := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return found, fmt.Errorf("TLS key files: %w", err)
		}
		found[i] = stamp{changed: info.ModTime(), size: info.Size()}
	}
	return found, nil
}

func read(files Files, found stamps) (m material, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("TLS key files: %w", err)
		}
	}()
	m.stamps = found
	if m.certificate, err = tls.LoadX509KeyPair(files.CertFile, files.KeyFile); err != nil {
		return m, err
	}
	if files.CAFile == "" {
		return m, nil
	}
	content, err := os.ReadFile(files.CAFile)
	if err != nil {
		return m, err
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(content) {
		return m, errors.New(files.CAFile + " holds no certificate")
	}
	return m, nil
}
