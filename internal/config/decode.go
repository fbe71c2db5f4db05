package config

import (
	"net/http"

	"github.com/hawthornwick/hawthornwick/internal/yamlfault"
)

// Decode reads an operators' text, fills in the defaults and validates it. The
// file name appears in faults only. It returns a *FaultsError with every fault
// of the text; the configuration must then not be used.
func Decode(file string, text []byte) (Config, error) {
	var c Config
	doc := yamlfault.Decode(file, text, &c)
	setDefaults(&c)
	v := validator{doc: doc, config: &c}
	v.run()
	return c, doc.Err()
}

// Compile decodes the text into the snapshot of a version. It takes ownership
// of keys and zonesOut; nil means none. It returns a *FaultsError when the text
// has faults.
func Compile(version uint64, text string, keys map[KeyDigest]KeyState, zonesOut map[string]bool) (*Snapshot, error) {
	c, err := Decode("configuration", []byte(text))
	if err != nil {
		return nil, err
	}
	return NewSnapshot(version, text, c, keys, zonesOut), nil
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
	yamlfault.SetDefault(&c.QueueLimit, c.Deadline)
	if c.RetryBudget == nil {
		budget := DefaultRetryBudget
		c.RetryBudget = &budget
	}
}

func setServiceDefaults(s *Service) {
	yamlfault.SetDefault(&s.Limit, DefaultLimit)
	if s.Route && s.Idempotent == nil {
		s.Idempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
}

// EffectiveFloor returns the class's floor, MinimumFloor when it states none.
func (c *Class) EffectiveFloor() float64 {
	if c.Floor == 0 {
		return MinimumFloor
	}
	return c.Floor
}
