package server

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certificateCheckInterval bounds the age of a certificate after its files
// have changed.
const certificateCheckInterval = time.Second

// ErrCertificate means that the certificate files can not be used.
var ErrCertificate = errors.New("TLS certificate can not be loaded")

// certificates serves a certificate and reads it again when its files change.
// Open connections keep theirs.
type certificates struct {
	certFile, keyFile string

	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time
	checked time.Time
}

func loadCertificates(certFile, keyFile string) (*certificates, error) {
	c := &certificates{certFile: certFile, keyFile: keyFile}
	if err := c.reload(time.Now()); err != nil {
		return nil, err
	}
	return c, nil
}

// get implements tls.Config.GetCertificate. Files that do not load leave the
// current certificate in force.
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) >= certificateCheckInterval {
		_ = c.reload(now)
	}
	return c.current, nil
}

// reload needs mu, except at construction.
func (c *certificates) reload(now time.Time) error {
	c.checked = now
	info, err := os.Stat(c.certFile)
	if err != nil {
		return errors.Wrap(ErrCertificate, err.Error())
	}
	if c.current != nil && info.ModTime().Equal(c.changed) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(ErrCertificate, err.Error())
	}
	c.current, c.changed = &pair, info.ModTime()
	return nil
}
