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
	minTimelineEvents = 16
	maxTimelineEvents = 1 << 24
)

var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checker validates decoded settings and adds every fault to the document.
type checker struct{ doc *yamlfault.Document }

func validate(doc *yamlfault.Document, s *Settings) {
	c := checker{doc}
	c.checkName("instance", s.Instance)
	c.checkName("zone", s.Zone)
	if s.Region != "" {
		c.checkName("region", s.Region)
	}
	c.checkCallers(&s.Callers)
	c.checkOperators(&s.Operators)
	c.checkPeers(&s.Peers)
	c.checkPlatform(&s.Platform)
	c.checkNotNegative("drain.balancer-lag", s.Drain.BalancerLag)
	c.checkNotNegative("drain.limit", s.Drain.Timeout)
	c.checkRange("timeline.events", int64(s.Timeline.Events), minTimelineEvents, maxTimelineEvents)
	if !slices.Contains(logLevels, s.Log.Level) {
		c.doc.AddFaultOnce("log.level", "%q is none of %s", s.Log.Level, strings.Join(logLevels, ", "))
	}
}

func (c checker) checkName(field, name string) {
	if err := yamlfault.CheckName(name, ""); err != nil {
		c.doc.AddFaultOnce(field, "%v", err)
	}
}

func (c checker) checkCallers(s *Callers) {
	c.checkAddress("callers.address", s.Address)
	c.checkTLS("callers.tls", s.TLS)
	c.checkRange("callers.header-limit-bytes", int64(s.HeaderLimit), 1<<10, 1<<20)
	c.checkRange("callers.body-limit-bytes", s.BodyLimit, 1<<10, 1<<32)
	c.checkRange("callers.max-connections", int64(s.MaxConnections), 1, 1<<20)
	c.checkNotNegative("callers.header-timeout", s.HeaderTimeout)
	c.checkNotNegative("callers.body-timeout", s.BodyTimeout)
	c.checkNotNegative("callers.idle-timeout", s.IdleTimeout)
}

func (c checker) checkOperators(s *Operators) {
	address, ok := c.checkAddress("operators.address", s.Address)
	c.checkTLS("operators.tls", s.TLS)
	if s.TokenDigest != "" {
		c.checkDigest("operators.token-digest", s.TokenDigest)
		return
	}
	if ok && !address.Addr().IsLoopback() {
		c.doc.AddFaultOnce("operators.token-digest", "required, because %s is no loopback address", s.Address)
	}
}

func (c checker) checkPeers(s *Peers) {
	address, ok := c.checkAddress("peers.address", s.Address)
	if ok && address.Addr().IsUnspecified() {
		c.doc.AddFaultOnce("peers.address", "%q is no address that other instances can reach", s.Address)
	}
	c.checkRequired("peers.certificate", s.Certificate)
	c.checkRequired("peers.key", s.Key)
	if s.Authorities == "" && len(s.PinnedKeys) == 0 {
		c.doc.AddFaultOnce("peers", "authorities or pinned-keys is required")
	}
	for i, key := range s.PinnedKeys {
		c.checkDigest(elementPath("peers.pinned-keys", i), key)
	}
}

func (c checker) checkPlatform(s *Platform) {
	c.checkURL("platform.table", s.Table)
	c.checkURL("platform.objects", s.Objects)
	c.checkURL("platform.servers", s.Servers)
	c.checkURL("platform.usage", s.Usage)
	c.checkURL("platform.instances", s.Instances)
	c.checkNotNegative("platform.timeout", s.Timeout)
}

func (c checker) checkRequired(field, value string) {
	if value == "" {
		c.doc.AddFaultOnce(field, "required")
	}
}

func (c checker) checkAddress(field, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.doc.AddFaultOnce(field, "required")
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.doc.AddFaultOnce(field, "%q is not an IP address and port such as 10.0.0.7:8443", value)
	}
	return a, err == nil
}

func (c checker) checkTLS(field string, s *TLS) {
	if s == nil {
		return
	}
	c.checkRequired(field+".certificate", s.Certificate)
	c.checkRequired(field+".key", s.Key)
}

func (c checker) checkURL(field, value string) {
	if value == "" {
		c.doc.AddFaultOnce(field, "required")
		return
	}
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.doc.AddFaultOnce(field, "%q is not a base URL such as http://10.0.0.5:9000", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.doc.AddFaultOnce(field, "%q names a host; give its IP number", value)
	}
}

func (c checker) checkDigest(field, value string) {
	if b, err := hex.DecodeString(value); err != nil || len(b) != sha256.Size {
		c.doc.AddFaultOnce(field, "not a SHA-256 digest of %d hexadecimal digits", 2*sha256.Size)
	}
}

func (c checker) checkRange(field string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		c.doc.AddFaultOnce(field, "%d is not between %d and %d", value, minimum, maximum)
	}
}

func (c checker) checkNotNegative(field string, value Duration) {
	if value < 0 {
		c.doc.AddFaultOnce(field, "%v is negative", value)
	}
}
