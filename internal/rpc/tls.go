package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// TLSFiles are the certificate, its private key and the certificate authority of the cluster, each as
// PEM text or as the path of a PEM file. If all are empty, TLS is off.
type TLSFiles struct {
	Cert, Key, CA string
}

// errTLSIncomplete means that only some of the TLS settings are given.
var errTLSIncomplete = errors.New("settings tls-cert, tls-key and tls-ca must be given together")

// Enabled reports whether TLS is configured.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// Load returns the TLS configuration for both sides of a connection between peers. Each side must
// present a certificate signed by the cluster's certificate authority. If TLS is off, Load returns nil.
func (f TLSFiles) Load() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errTLSIncomplete
	}
	cert, err := loadPEM("tls-cert", f.Cert)
	if err != nil {
		return nil, err
	}
	key, err := loadPEM("tls-key", f.Key)
	if err != nil {
		return nil, err
	}
	ca, err := loadPEM("tls-ca", f.CA)
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

// loadPEM returns value if it is PEM text, and otherwise the contents of the file that it names.
func loadPEM(setting, value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	if err != nil {
		return nil, fmt.Errorf("setting %s: %w", setting, err)
	}
	return b, nil
}
