package pooler_test

import (
	"slices"
	"testing"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

func TestMoveIsAllowed(t *testing.T) {
	for _, test := range []struct {
		name   string
		move   func(*router.Move)
		change func(*registrar.Objects)
		down   string
		want   bool
	}{
		{name: "allowed", want: true},
		{name: "a source that drains", want: true, change: func(o *registrar.Objects) {
			o.Targets[0].Labels = registrar.Labels{registrar.LabelDrain: "true"}
		}},
		{name: "a destination that drains", change: func(o *registrar.Objects) {
			o.Targets[1].Labels = registrar.Labels{registrar.LabelDrain: "true"}
		}},
		{name: "a destination that is down", down: targetName(1)},
		{name: "an account that may not use the destination", change: func(o *registrar.Objects) {
			o.Selectors = append(o.Selectors, deny("d", matchNames(registrar.KindAccount, "a"), matchNames(registrar.KindTarget, targetName(1))))
		}},
		{name: "weights that are not loaded", move: func(m *router.Move) { m.Weights = "w3" }},
		{name: "a source that started again", move: func(m *router.Move) { m.FromIncarnation = "i0" }},
		{name: "a destination that is gone", move: func(m *router.Move) { m.To = "nobody" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			objects := newObjects(2)
			p := newPooler(t, objects, fakeLiveness{test.down: true})
			objects.Targets = slices.Clone(objects.Targets)
			if test.change != nil {
				test.change(&objects)
			}
			p.Apply(newSnapshot(t, 2, objects))
			move := router.Move{From: targetName(0), To: targetName(1), FromIncarnation: "i1", Account: "a", Weights: "w1"}
			if test.move != nil {
				test.move(&move)
			}
			if facts, ok := p.MoveFacts(move); ok != test.want {
				t.Errorf("got %+v, %t", facts, ok)
			}
		})
	}
}
