package soak

import (
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"time"

	"foxwood/internal/testing/standin"
)

const (
	ordinaryBodyBytes = 1500
	longBodyBytes     = 150 << 10 // more than a gatekeeper buffers before it streams an answer
	longBodyEvery     = 6         // one in so many answers is long
	maxAnswerPause    = 400 * time.Millisecond
	brokenShare       = 0.3  // of the answers of a worker that breaks off answers
	closeShare        = 0.15 // of the other answers end with their connection
	pausedShare       = 0.3  // of the answers that are not ordinary pause in the middle
)

// variedBody returns the body for the attempt with an ID: its ID, repeated, to one of two lengths.
func variedBody(id string) string {
	length := ordinaryBodyBytes
	if crc32.ChecksumIEEE([]byte(id))%longBodyEvery == 0 {
		length = longBodyBytes
	}
	text := standin.ResponseBody(id) + "\n"
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// drawAnswerForm draws how a worker sends an answer.
func drawAnswerForm(breaksOff bool) standin.AnswerForm {
	form := standin.AnswerForm{}
	switch {
	case breaksOff && rand.Float64() < brokenShare:
		form.Framing = []standin.Framing{standin.FramedByClose, standin.FramedByClose, standin.FramedByLength, standin.FramedByChunks}[rand.IntN(4)]
		form.End = standin.EndReset
		if form.Framing != standin.FramedByClose && rand.IntN(2) == 0 {
			form.End = standin.EndClose // without a length an orderly close would make the answer whole
		}
	case rand.Float64() < closeShare:
		form.Framing = standin.FramedByClose
	default:
		return form
	}
	if rand.Float64() < pausedShare {
		form.Pause = time.Duration(rand.Float64() * float64(maxAnswerPause))
	}
	return form
}
