package trace

import (
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/replay"
)

// decode checks that the record has the fields of its kind, and gives it typed.
func (w *wireRecord) decode() (replay.Record, error) {
	r := replay.Record{
		Run:     replay.RunID(w.Run),
		At:      w.At.time(),
		Kind:    replay.Kind(w.Kind),
		Dropped: w.Dropped,
	}
	switch r.Kind {
	case replay.KindEnd:
		return r, nil
	case replay.KindOffer:
		if w.Offer == nil {
			return r, errors.New("offer: must be given")
		}
		r.Offer = w.Offer.decode()
		return r, nil
	}
	if w.Gate != nil {
		r.Gate = w.Gate.decode()
		return r, checkAdmissionKind(r.Kind)
	}
	actions, err := decodeActions(w.Actions)
	if err != nil {
		return r, err
	}
	r.Fanout = &replay.Fanout{Code: unit.Code(w.Code), Actions: actions}
	return r, w.decodeFanoutFields(r.Kind, r.Fanout)
}

// decodeFanoutFields decodes the fields that belong to the kind of a fan-out's record.
func (w *wireRecord) decodeFanoutFields(kind replay.Kind, into *replay.Fanout) error {
	switch kind {
	case replay.KindPlan:
		if w.Query == nil || w.Plan == nil {
			return errors.New("query and plan: must be given")
		}
		into.Query = w.Query.decode()
		into.Plan = w.Plan.decode()
	case replay.KindReply:
		if w.Reply == nil {
			return errors.New("reply: must be given")
		}
		into.Reply = w.Reply.decode()
	case replay.KindAnswer:
		if w.Answer == nil {
			return errors.New("answer: must be given")
		}
		into.Answer = w.Answer.decode()
	case replay.KindStart, replay.KindTick, replay.KindStop:
	default:
		return errors.Newf("kind: unknown kind %q", kind)
	}
	return nil
}

// checkAdmissionKind says whether a kind is one of an admission.
func checkAdmissionKind(kind replay.Kind) error {
	switch kind {
	case replay.KindGate, replay.KindChange, replay.KindTicket, replay.KindDone, replay.KindWithdraw:
		return nil
	default:
		return errors.Newf("gate: does not belong to kind %q", kind)
	}
}
