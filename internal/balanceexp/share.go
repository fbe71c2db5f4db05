package balanceexp

import "github.com/hawthornwick/hawthornwick/internal/balance"

// share tells every instance what the others have on the servers and sent there.
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
		w.after(w.now+w.experiment.ShareDelay, func() {
			b.SetOthers(others)
			b.RecordSent(prompts)
		})
	}
}
