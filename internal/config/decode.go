package config

import (
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Decode parses the YAML text of a configuration, sets the defaults and validates
// the result. The file name is used in error messages only. If the text has
// faults, Decode returns a *FaultsError that lists all of them, and the
// configuration must not be used.
func Decode(file string, text []byte) (Config, error) {
	var c Config
	doc := yamlfault.Decode(file, text, &c)
	setDefaults(&c)
	v := validator{doc: doc, config: &c}
	v.run()
	return c, doc.Err()
}

// Compile decodes the text and returns it as the snapshot of the given version.
// It takes ownership of keys and drainedZones, which may be nil. If the text has
// faults, it returns a *FaultsError.
func Compile(version uint64, text string, keys map[KeyDigest]KeyState, drainedZones map[string]bool) (*Snapshot, error) {
	c, err := Decode("configuration", []byte(text))
	if err != nil {
		return nil, err
	}
	return NewSnapshot(version, text, c, keys, drainedZones), nil
}

func setDefaults(c *Config) {
	for i := range c.Organisations {
		yamlfault.SetDefault(&c.Organisations[i].Weight, 1)
	}
	for i := range c.Classes {
		setClassDefaults(&c.Classes[i])
	}
	for i := range c.Models {
		yamlfault.SetDefault(&c.Models[i].ColdLimit, DefaultColdLimit)
		yamlfault.SetDefault(&c.Models[i].WarmLimit, DefaultWarmLimit)
		yamlfault.SetDefault(&c.Models[i].StartTime, Duration(DefaultStartTime))
	}
	for i := range c.Services {
		setServiceDefaults(&c.Services[i])
	}
}

func setClassDefaults(c *Class) {
	yamlfault.SetDefault(&c.Deadline, Duration(DefaultDeadline))
	yamlfault.SetDefault(&c.QueueTimeout, c.Deadline)
	if c.RetryBudget == nil {
		budget := DefaultRetryBudget
		c.RetryBudget = &budget
	}
}

func setServiceDefaults(s *Service) {
	yamlfault.SetDefault(&s.Limit, DefaultServiceLimit)
	if s.Route && s.Idempotent == nil {
		s.Idempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
}

// EffectiveFloor returns the floor of the class, or the default floor if none
// is configured.
func (c *Class) EffectiveFloor() float64 {
	if c.Floor == 0 {
		return DefaultFloor
	}
	return c.Floor
}
