package operator_test

import (
	"context"

	"github.com/hawthornwick/hawthornwick/internal/config"
	"github.com/hawthornwick/hawthornwick/internal/operator"
	"github.com/hawthornwick/hawthornwick/internal/result"
)

// fakeStore keeps the configuration of one instance in memory.
type fakeStore struct {
	version, textVersion uint64
	text                 string
	keys                 map[config.KeyDigest]config.KeyState
	zones                map[string]bool
	storeDown            bool
}

func (f *fakeStore) Current() *config.Snapshot {
	s, err := config.Compile(f.version, f.text, f.keys, f.zones)
	if err != nil {
		return nil
	}
	return s
}

func (f *fakeStore) Changed(uint64) <-chan struct{} { return nil }
func (f *fakeStore) Fresh() bool                    { return true }

func refused(code result.Code) error { return new(result.Gate).Refuse(code, "refused") }

func (f *fakeStore) Apply(_ context.Context, text string, base uint64) (uint64, error) {
	if _, err := config.Decode("configuration", []byte(text)); err != nil {
		return 0, err
	}
	if base < f.textVersion {
		return 0, refused(result.ConfigConflict)
	}
	f.version++
	f.textVersion, f.text = f.version, text
	return f.version, nil
}

func (f *fakeStore) GrantKey(_ context.Context, d config.KeyDigest, organisation string) (uint64, error) {
	if f.Current().Organisation(organisation) == nil {
		return 0, refused(result.UnknownName)
	}
	f.version++
	f.keys[d] = config.KeyState{Organisation: organisation}
	return f.version, nil
}

func (f *fakeStore) WithdrawKey(_ context.Context, d config.KeyDigest) (uint64, error) {
	f.keys[d] = config.KeyState{Organisation: f.keys[d].Organisation, Withdrawn: true}
	if f.storeDown {
		return 0, nil
	}
	f.version++
	return f.version, nil
}

func (f *fakeStore) SetZoneDrained(_ context.Context, zone string, out bool) (uint64, error) {
	f.version++
	f.zones[zone] = out
	return f.version, nil
}

func (f *fakeStore) InForce(context.Context) ([]config.InstanceVersion, error) {
	return []config.InstanceVersion{{Instance: "b", Version: f.version}, {Instance: "a", Version: f.version}}, nil
}

// fakeInstance reports a fixed status and records calls of Drain.
type fakeInstance struct {
	unready string
	drains  chan bool // nil if they are not recorded
}

func (f *fakeInstance) Status(context.Context) operator.Status {
	return operator.Status{Instance: "a", State: "ready"}
}
func (f *fakeInstance) Ready() (bool, string) { return f.unready == "", f.unready }
func (f *fakeInstance) Drain(force bool) {
	if f.drains != nil {
		f.drains <- force
	}
}
