package trace

import (
	"github.com/cockroachdb/errors"

	"basilspan/internal/core/unit"
	"basilspan/internal/policy/replay"
)

// decode returns the record. It fails when fields that its kind requires are missing.
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
			return r, errors.New("offer: required field is missing")
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

// decodeFanoutFields decodes the fields of a fan-out record that depend on its kind. It fails when one is missing or
// the kind is unknown.
func (w *wireRecord) decodeFanoutFields(kind replay.Kind, into *replay.Fanout) error {
	switch kind {
	case replay.KindPlan:
		if w.Query == nil || w.Plan == nil {
			return errors.New("query and plan: required fields are missing")
		}
		into.Query = w.Query.decode()
		into.Plan = w.Plan.decode()
	case replay.KindReply:
		if w.Reply == nil {
			return errors.New("reply: required field is missing")
		}
		into.Reply = w.Reply.decode()
	case replay.KindAnswer:
		if w.Answer == nil {
			return errors.New("answer: required field is missing")
		}
		into.Answer = w.Answer.decode()
	case replay.KindStart, replay.KindTick, replay.KindStop:
	default:
		return errors.Newf("kind: unknown kind %q", kind)
	}
	return nil
}

// checkAdmissionKind returns an error unless the kind is one of an admission gate's records.
func checkAdmissionKind(kind replay.Kind) error {
	switch kind {
	case replay.KindGate, replay.KindChange, replay.KindTicket, replay.KindDone, replay.KindWithdraw:
		return nil
	default:
		return errors.Newf("gate: field is not allowed in a record of kind %q", kind)
	}
}
