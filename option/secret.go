package option

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
)

// Secrets holds the tokens from the files that the settings name.
type Secrets struct {
	Platform string
	Admin    string
	Peer     string
}

// readSecrets reads the token files. It records a problem for each one that can't be read or is empty.
func (r *reader) readSecrets() Secrets {
	return Secrets{
		Platform: r.readToken("platform-token", r.options.PlatformToken),
		Admin:    r.readToken("admin-token", r.options.AdminToken),
		Peer:     r.readToken("peer-token", r.options.PeerToken),
	}
}

func (r *reader) readToken(name, file string) string {
	if r.invalid[name] || file == "" {
		return ""
	}
	text, err := os.ReadFile(file)
	if err != nil {
		r.addSettingProblem(name, "unable to read the token: %v", err)
		return ""
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		r.addSettingProblem(name, "the file %s is empty; it must contain a token", file)
	}
	return token
}

// checkCertificates loads the certificates and keys once, so that an instance does not start with invalid ones.
func (r *reader) checkCertificates() {
	o := r.options
	r.checkKeyPair("tls", o.TLS.Certificate, o.TLS.Key)
	r.checkKeyPair("admin-tls", o.AdminTLS.Certificate, o.AdminTLS.Key)
	r.checkKeyPair("peer-tls", o.PeerTLS.Certificate, o.PeerTLS.Key)
	r.checkAuthority(o.PeerTLS)
}

// checkKeyPair records a problem if only one of a certificate and its key is set, or if they can't be loaded.
func (r *reader) checkKeyPair(group, certificate, key string) {
	if r.invalid[group+".certificate"] || r.invalid[group+".key"] || certificate == "" && key == "" {
		return
	}
	if certificate == "" || key == "" {
		present := group + ".certificate"
		if certificate == "" {
			present = group + ".key"
		}
		r.addSettingProblem(present, "%s.certificate and %s.key go together; one is missing", group, group)
		return
	}
	if _, err := tls.LoadX509KeyPair(certificate, key); err != nil {
		r.addSettingProblem(group+".certificate", "unable to load the certificate and key: %v", err)
	}
}

// checkAuthority records a problem if only one of the peer certificate and its authority is set, or if the authority
// file can't be read or contains no certificate.
func (r *reader) checkAuthority(t PeerTLS) {
	if r.invalid["peer-tls.authority"] || !t.Enabled() && t.Authority == "" {
		return
	}
	if !t.Enabled() || t.Authority == "" {
		present := "peer-tls.certificate"
		if t.Authority != "" {
			present = "peer-tls.authority"
		}
		r.addSettingProblem(present, "peer-tls.certificate, peer-tls.key and peer-tls.authority go together; one is missing")
		return
	}
	text, err := os.ReadFile(t.Authority)
	if err != nil {
		r.addSettingProblem("peer-tls.authority", "unable to read the authority file: %v", err)
		return
	}
	if !x509.NewCertPool().AppendCertsFromPEM(text) {
		r.addSettingProblem("peer-tls.authority", "the file %s contains no certificate (PEM)", t.Authority)
	}
}
