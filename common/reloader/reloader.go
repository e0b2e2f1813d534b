// Package reloader provides TLS configurations from certificate and key files
// and reloads the files when they change, so that certificates can be replaced
// without a restart.
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
// certificate authorities that the peer's certificate must be issued by. Create
// it with New; it is safe for concurrent use.
type Reloader struct {
	files Files

	// mu guards the fields below.
	mu     sync.Mutex
	loaded keyMaterial
	// lastLoggedError is the last error logged since the files were last loaded
	// successfully, or "". Each connection tries unusable files again, and the log
	// must not grow with the number of connections.
	lastLoggedError string
}

// Files are the names of PEM files. The zero value means no TLS.
type Files struct {
	// CertFile and KeyFile are the program's certificate and its key; both are
	// set or neither is.
	CertFile string `toml:"cert_file" validate:"required_with=KeyFile CAFile"`
	KeyFile  string `toml:"key_file" validate:"required_with=CertFile"`
	// CAFile holds the certificate authorities of the peers. If it is set, peers
	// must present a certificate issued by one of them.
	CAFile string `toml:"ca_file"`
}

// Enabled reports whether TLS is configured.
func (f Files) Enabled() bool {
	return f.CertFile != ""
}

// keyMaterial is the content of the files when they were last loaded.
type keyMaterial struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	// stamps are compared with the files to detect changes.
	stamps fileStamps
}

// fileStamp identifies a version of a file by its modification time and its size
// in bytes.
type fileStamp struct {
	modified time.Time
	size     int64
}

// fileStamps are the stamps of the certificate, the key and the authorities, in
// this order. They are compared for equality, so that a file replaced by one with
// an older modification time counts as changed too.
type fileStamps [3]fileStamp

// New returns a Reloader that has loaded the files once, so that unusable files
// are reported at startup.
func New(files Files) (r *Reloader, err error) {
	r = &Reloader{files: files}
	stamps, err := files.statFiles()
	if err != nil {
		return nil, err
	}
	if r.loaded, err = loadKeyMaterial(files, stamps); err != nil {
		return nil, err
	}
	return r, nil
}

// Server returns a configuration for listening sockets. Each connection uses the
// files as they are when it is opened.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keys := r.current()
			config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{keys.certificate}}
			if keys.authorities != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = keys.authorities
			}
			return config, nil
		},
	}
}

// Client returns a configuration for one outgoing connection.
func (r *Reloader) Client() *tls.Config {
	keys := r.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{keys.certificate},
		RootCAs:      keys.authorities,
	}
}

// current returns the key material and reloads it first if a file has changed.
// If the files cannot be loaded, the previous key material stays in use.
func (r *Reloader) current() keyMaterial {
	r.mu.Lock()
	defer r.mu.Unlock()
	stamps, err := r.files.statFiles()
	if err == nil && stamps == r.loaded.stamps {
		return r.loaded
	}
	var reloaded keyMaterial
	if err == nil {
		reloaded, err = loadKeyMaterial(r.files, stamps)
	}
	if err != nil {
		r.logErrorOnce(err)
		return r.loaded
	}
	klog.InfoS("TLS key files reloaded", "cert_file", r.files.CertFile)
	r.loaded, r.lastLoggedError = reloaded, ""
	return r.loaded
}

// logErrorOnce logs err unless the last logged error was the same. It is called
// with mu held.
func (r *Reloader) logErrorOnce(err error) {
	if r.lastLoggedError == err.Error() {
		return
	}
	r.lastLoggedError = err.Error()
	klog.ErrorS(err, "failed to reload the TLS key files; the previous ones stay in use")
}

// statFiles returns the current stamps of the files; a file that is not set has
// the zero stamp.
func (f Files) statFiles() (stamps fileStamps, err error) {
	for i, name := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fmt.Errorf("TLS key files: %w", err)
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

// loadKeyMaterial loads the files. stamps must have been read before, so that a
// change in between is found by the next comparison.
func loadKeyMaterial(files Files, stamps fileStamps) (loaded keyMaterial, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("TLS key files: %w", err)
		}
	}()
	loaded.stamps = stamps
	if loaded.certificate, err = tls.LoadX509KeyPair(files.CertFile, files.KeyFile); err != nil {
		return loaded, err
	}
	if files.CAFile == "" {
		return loaded, nil
	}
	content, err := os.ReadFile(files.CAFile)
	if err != nil {
		return loaded, err
	}
	loaded.authorities = x509.NewCertPool()
	if !loaded.authorities.AppendCertsFromPEM(content) {
		return loaded, errors.New(files.CAFile + " holds no certificate")
	}
	return loaded, nil
}
