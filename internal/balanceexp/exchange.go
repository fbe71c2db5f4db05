package balanceexp

import "github.com/hawthornwick/hawthornwick/internal/balance"

// share sends every instance the load of all others, the prompts that they sent, and the
// rate limits that servers have stated to them.
func (w *world) share() {
	loads := make([]map[string]balance.Load, len(w.balancers))
	sent := make([][]balance.SentPrompt, len(w.balancers))
	limits := make([][]balance.NamedLimit, len(w.balancers))
	for i, b := range w.balancers {
		loads[i], sent[i], limits[i] = b.Loads(), b.TakeSent(), b.NamedLimits()
	}
	for i, b := range w.balancers {
		others := map[string]balance.Load{}
		var prompts []balance.SentPrompt
		for j := range w.balancers {
			if j == i {
				continue
			}
			for id, l := range loads[j] {
				others[id] = others[id].Add(l)
			}
			prompts = append(prompts, sent[j]...)
		}
		w.runAt(w.now+w.experiment.ShareDelay, func() {
			b.SetOthers(others)
			b.RecordSent(prompts)
			for j := range limits {
				if j != i && len(limits[j]) > 0 {
					b.ObserveNamedLimits(instanceName(j), w.experiment.ShareDelay, limits[j])
				}
			}
		})
	}
}
