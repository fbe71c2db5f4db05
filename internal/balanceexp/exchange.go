package balanceexp

import "github.com/hawthornwick/hawthornwick/internal/balance"

// share sends every instance the load of all others and the prompts that they sent.
func (w *world) share() {
	loads := make([]map[string]balance.Load, len(w.balancers))
	sent := make([][]balance.SentPrompt, len(w.balancers))
	for i, b := range w.balancers {
		loads[i], sent[i] = b.Loads(), b.TakeSent()
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
		})
	}
}
