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
	// newest is the newest time of change among the files.
	newest time.Time
}

// New reads the files once, so that a mistake shows at the start.
func New(files Files) (r *Reloader, err error) {
	r = &Reloader{files: files}
	newest, err := r.newest()
	if err != nil {
		return nil, err
	}
	r.held, err = read(files, newest)
	return r, err
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
	newest, err := r.newest()
	if err == nil && newest.Equal(r.held.newest) {
		return r.held
	}
	var fresh material
	if err == nil {
		fresh, err = read(r.files, newest)
	}
	if err != nil {
		klog.ErrorS(err, "the old TLS key files stay in use")
		return r.held
	}
	klog.InfoS("TLS key files read again", "cert_file", r.files.CertFile)
	r.held = fresh
	return r.held
}

func (r *Reloader) newest() (newest time.Time, err error) {
	for _, name := range []string{r.files.CertFile, r.files.KeyFile, r.files.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return newest, fmt.Errorf("TLS key files: %w", err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func read(files Files, newest time.Time) (m material, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("TLS key files: %w", err)
		}
	}()
	m.newest = newest
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
