package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

const (
	minEvents = 16
	maxEvents = 1 << 24
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checker adds the faults of decoded settings to the document.
type checker struct{ doc *yamlfault.Document }

func validate(doc *yamlfault.Document, s *Settings) {
	c := checker{doc}
	c.name("instance", s.Instance)
	c.name("zone", s.Zone)
	if s.Region != "" {
		c.name("region", s.Region)
	}
	c.callers(&s.Callers)
	c.operators(&s.Operators)
	c.peers(&s.Peers)
	c.platform(&s.Platform)
	c.duration("drain.balancer-lag", s.Drain.BalancerLag)
	c.duration("drain.limit", s.Drain.Limit)
	c.between("timeline.events", int64(s.Timeline.Events), minEvents, maxEvents)
	if !slices.Contains(logLevels, s.Log.Level) {
		c.doc.FaultOnce("log.level", "%q is none of %s", s.Log.Level, strings.Join(logLevels, ", "))
	}
}

func (c checker) name(field, name string) {
	if err := yamlfault.CheckName(name, ""); err != nil {
		c.doc.FaultOnce(field, "%v", err)
	}
}

func (c checker) callers(s *Callers) {
	c.address("callers.address", s.Address)
	c.tls("callers.tls", s.TLS)
	c.between("callers.header-limit-bytes", int64(s.HeaderLimit), 1<<10, 1<<20)
	c.between("callers.body-limit-bytes", s.BodyLimit, 1<<10, 1<<32)
	c.between("callers.max-connections", int64(s.MaxConnections), 1, 1<<20)
	c.duration("callers.header-timeout", s.HeaderTimeout)
	c.duration("callers.body-timeout", s.BodyTimeout)
	c.duration("callers.idle-timeout", s.IdleTimeout)
}

func (c checker) operators(s *Operators) {
	address, ok := c.address("operators.address", s.Address)
	c.tls("operators.tls", s.TLS)
	if s.TokenDigest != "" {
		c.digest("operators.token-digest", s.TokenDigest)
		return
	}
	if ok && !address.Addr().IsLoopback() {
		c.doc.FaultOnce("operators.token-digest", "required, because %s is no loopback address", s.Address)
	}
}

func (c checker) peers(s *Peers) {
	address, ok := c.address("peers.address", s.Address)
	if ok && address.Addr().IsUnspecified() {
		c.doc.FaultOnce("peers.address", "%q is no address that other instances can reach", s.Address)
	}
	c.required("peers.certificate", s.Certificate)
	c.required("peers.key", s.Key)
	if s.Authorities == "" && len(s.PinnedKeys) == 0 {
		c.doc.FaultOnce("peers", "authorities or pinned-keys is required")
	}
	for i, key := range s.PinnedKeys {
		c.digest(indexed("peers.pinned-keys", i), key)
	}
}

func (c checker) platform(s *Platform) {
	c.endpoint("platform.table", s.Table)
	c.endpoint("platform.objects", s.Objects)
	c.endpoint("platform.servers", s.Servers)
	c.endpoint("platform.usage", s.Usage)
	c.endpoint("platform.instances", s.Instances)
	c.duration("platform.timeout", s.Timeout)
}

func (c checker) required(field, value string) {
	if value == "" {
		c.doc.FaultOnce(field, "required")
	}
}

func (c checker) address(field, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.doc.FaultOnce(field, "required")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.doc.FaultOnce(field, "%q is not an IP address and port such as 10.0.0.7:8443", value)
	}
	return a, err == nil
}

func (c checker) tls(field string, s *TLS) {
	if s == nil {
		return
	}
	c.required(field+".certificate", s.Certificate)
	c.required(field+".key", s.Key)
}

func (c checker) endpoint(field, value string) {
	if value == "" {
		c.doc.FaultOnce(field, "required")
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.doc.FaultOnce(field, "%q is not a base URL such as http://10.0.0.5:9000", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.doc.FaultOnce(field, "%q names a host; give its IP number", value)
	}
}

func (c checker) digest(field, value string) {
	if b, err := hex.DecodeString(value); err != nil || len(b) != sha256.Size {
		c.doc.FaultOnce(field, "not a SHA-256 digest of %d hexadecimal digits", 2*sha256.Size)
	}
}

func (c checker) between(field string, value, least, most int64) {
	if value < least || value > most {
		c.doc.FaultOnce(field, "%d is not between %d and %d", value, least, most)
	}
}

func (c checker) duration(field string, value Duration) {
	if value < 0 {
		c.doc.FaultOnce(field, "%v is negative", value)
	}
}
