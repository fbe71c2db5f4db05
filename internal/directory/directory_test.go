package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hawthornwick/hawthornwick/internal/boottime"
)

const start = boottime.Instant(time.Hour)

func entry(id string, sequence int64) Change {
	return Change{ID: id, Entry: &Entry{ID: id, StartedMillis: 1, Sequence: sequence}}
}

// TestLateWriteIgnored guards against a delayed write that undoes a later one: a
// draining server must not become ready again.
func TestLateWriteIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	draining := entry("a", 5)
	draining.Entry.Draining = true
	d.Apply(start, []Change{draining}, true, 0)
	d.Apply(start, []Change{entry("a", 4)}, false, 0)
	is.True(d.Servers()[0].Draining) // the older write does not make it ready again
	restarted := Change{ID: "a", Entry: &Entry{ID: "a", StartedMillis: 2, Sequence: 1}}
	d.Apply(start, []Change{restarted}, false, 0)
	is.True(!d.Servers()[0].Draining) // a later start supersedes every write before it
}

// TestNoticeReadAgain guards against a server that seems to stay longer because its row is
// read a second time.
func TestNoticeReadAgain(t *testing.T) {
	is := is.New(t)
	d := New()
	notice := entry("a", 5)
	notice.Entry.Draining, notice.Entry.LeavesIn = true, 2400*time.Millisecond
	leaves := start.Add(2400 * time.Millisecond)
	d.Apply(start, []Change{notice}, true, 0)
	is.Equal(d.Servers()[0].LeavesAt, leaves)
	d.Apply(start.Add(time.Second), []Change{notice}, true, 0)
	is.Equal(d.Servers()[0].LeavesAt, leaves)
	notice.Entry.LeavesIn = 300 * time.Millisecond // the server stops earlier
	d.Apply(start.Add(time.Second), []Change{notice}, true, 0)
	is.Equal(d.Servers()[0].LeavesAt, start.Add(1300*time.Millisecond))
	d.Apply(start.Add(time.Second), []Change{entry("a", 6)}, true, 0)
	is.True(d.Servers()[0].LeavesAt.IsZero())
}

func TestRemovalWithoutOutage(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Apply(start, []Change{entry("a", 1), entry("b", 1)}, true, 0)
	d.Apply(start, []Change{{ID: "a"}}, false, time.Second)
	is.Equal(len(d.Servers()), 1)
}

// TestEntriesKeptAfterOutage guards against the removal of live servers whose entries
// expired because they could not be renewed while the store was unavailable.
func TestEntriesKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Apply(start, []Change{entry("a", 1), entry("b", 1)}, true, 0)
	recovered := start.Add(10 * time.Second)
	d.Apply(recovered, []Change{{ID: "a"}, {ID: "b"}}, false, 8*time.Second)
	is.Equal(len(d.Servers()), 2) // both servers may be alive
	d.Apply(recovered.Add(time.Second), []Change{entry("a", 9)}, false, 0)
	again, waits := d.Expire(recovered.Add(2 * time.Second))
	is.True(waits)
	is.Equal(len(d.Servers()), 2)
	_, waits = d.Expire(again)
	is.True(!waits)
	is.Equal(len(d.Servers()), 1) // b did not register again
	is.Equal(d.Servers()[0].ID, "a")
}

func TestWholeListRemovesUnlisted(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Apply(start, []Change{entry("a", 1), entry("b", 1)}, true, 0)
	d.Apply(start, []Change{entry("b", 2)}, true, 0)
	is.Equal(len(d.Servers()), 1)
}

func TestUndecodableEntryIgnored(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Apply(start, []Change{{ID: "unreadable"}, entry("a", 1)}, true, 0)
	is.Equal(len(d.Servers()), 1)
}

// TestServersKeptAfterRestore guards against servers that are taken as gone, since the copy that
// the store was restored from lacks their entries, and against older states in it.
func TestServersKeptAfterRestore(t *testing.T) {
	is := is.New(t)
	d := New()
	draining := entry("draining", 7)
	draining.Entry.Draining = true
	d.Apply(start, []Change{entry("new", 1), entry("lost", 1), draining}, true, 0)
	d.Restored(start)
	d.Apply(start, []Change{entry("draining", 3)}, true, 0)
	is.Equal(len(d.Servers()), 3)
	is.True(d.Draining("draining", 1))
	d.Apply(start.Add(time.Second), []Change{entry("draining", 3)}, true, 0) // read again
	d.Apply(start.Add(time.Second), []Change{entry("new", 2)}, false, 0)
	d.Expire(start.Add(reregistrationGrace))
	is.Equal(len(d.Servers()), 2) // one did not register again
	is.True(d.Draining("draining", 1))
}

// TestDepartedServersStayAway guards against requests to a server that has left, since the copy
// that the store was restored from still lists it.
func TestDepartedServersStayAway(t *testing.T) {
	is := is.New(t)
	d := New()
	draining := entry("a", 7)
	draining.Entry.Draining = true
	d.Apply(start, []Change{draining}, true, 0)
	d.Apply(start.Add(time.Second), []Change{{ID: "a"}}, false, 0)
	d.Restored(start.Add(2 * time.Second))
	d.Apply(start.Add(2*time.Second), []Change{entry("a", 3)}, true, 0)
	is.Equal(len(d.Servers()), 0)
	d.Apply(start.Add(3*time.Second), []Change{entry("a", 8)}, false, 0) // it is alive
	is.Equal(len(d.Servers()), 1)
}

// TestDepartedServerRegistersLater checks that without a restore an entry that was removed may
// come back as it was, and that a restart is another server.
func TestDepartedServerRegistersLater(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Apply(start, []Change{entry("a", 7), entry("b", 7)}, true, 0)
	d.Apply(start, []Change{{ID: "a"}, {ID: "b"}}, false, 0)
	d.Apply(start, []Change{entry("a", 7)}, false, 0)
	is.Equal(len(d.Servers()), 1)
	d.Restored(start)
	restarted := Change{ID: "b", Entry: &Entry{ID: "b", StartedMillis: 2, Sequence: 1}}
	d.Apply(start, []Change{entry("a", 7), restarted}, true, 0)
	is.Equal(len(d.Servers()), 2)
}

// TestLivingServerOfCopyIsUsed guards against a server that lapsed before a restore and lives, and
// is never used again, since its writes after the restore change nothing but its sequence.
func TestLivingServerOfCopyIsUsed(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Apply(start, []Change{entry("a", 7), entry("b", 7)}, true, 0)
	d.Apply(start.Add(time.Second), []Change{{ID: "a"}}, false, 0) // lapsed while the store was away
	d.Restored(start.Add(2 * time.Second))
	d.Apply(start.Add(2*time.Second), []Change{entry("a", 3), entry("b", 3)}, true, 0)
	for s := 3; s < 120; s++ { // the store lists a all the while
		now := start.Add(time.Duration(s) * time.Second)
		d.Apply(now, []Change{entry("b", int64(5+s))}, false, 0)
		d.Expire(now)
	}
	is.Equal(len(d.Servers()), 2)
}

// TestDrainedServerOfCopyStaysAway guards against requests to a server that has left, since the
// store still lists it after the grace period.
func TestDrainedServerOfCopyStaysAway(t *testing.T) {
	is := is.New(t)
	d := New()
	draining := entry("a", 7)
	draining.Entry.Draining = true
	d.Apply(start, []Change{draining, entry("b", 7)}, true, 0)
	d.Apply(start, []Change{{ID: "a"}, {ID: "b"}}, false, 0)
	d.Restored(start)
	d.Apply(start, []Change{entry("a", 3), entry("b", 3)}, true, 0)
	d.Apply(start, []Change{{ID: "b"}}, false, 0) // it lapses
	d.Expire(start.Add(departedRetention))
	is.Equal(len(d.Servers()), 0)
	is.True(d.Waiting())
	d.Expire(start.Add(departedRetention + 1))
	is.Equal(len(d.Servers()), 1)
	is.True(!d.Waiting())
}
