package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// TLSFiles are the certificate, its key and the authority of the cluster, each as PEM text or as
// the path of a PEM file. All empty means no TLS.
type TLSFiles struct {
	Cert, Key, CA string
}

// errTLSIncomplete means that some but not all TLS settings are given.
var errTLSIncomplete = errors.New("settings tls-cert, tls-key and tls-ca must be given together")

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// Load returns the TLS configuration for both sides of a connection between peers: each side
// must show a certificate signed by the cluster's authority. It returns nil without settings.
func (f TLSFiles) Load() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errTLSIncomplete
	}
	cert, err := pemText("tls-cert", f.Cert)
	if err != nil {
		return nil, err
	}
	key, err := pemText("tls-key", f.Key)
	if err != nil {
		return nil, err
	}
	ca, err := pemText("tls-ca", f.CA)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("settings tls-cert and tls-key: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.New("setting tls-ca: no certificate found")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2"},
	}, nil
}

func pemText(setting, value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	if err != nil {
		return nil, fmt.Errorf("setting %s: %w", setting, err)
	}
	return b, nil
}
