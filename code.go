package bluebelldoor

import "strconv"

// Code is a numbered result code. The table in docs/CODES.md lists all of
// them; a test checks that the table and this file agree.
type Code int

// Result codes: 1xx for faults of the request itself, 2xx for refusals before
// any target was asked, 3xx for outcomes after a target was asked, 4xx for
// findings in settings and documents.
const (
	OK Code = 0

	BadRequest        Code = 101
	Unauthorized      Code = 102
	UnknownModel      Code = 103
	TooLarge          Code = 104
	UnknownService    Code = 105
	KeyRequired       Code = 106
	KeyInvalid        Code = 107
	KeyExpired        Code = 108
	UnknownGeneration Code = 109
	TooSlow           Code = 110
	UnknownRoute      Code = 111
	HeadTooLarge      Code = 112
	PromptQuarantined Code = 113

	AccountLimit    Code = 201
	QueueFull       Code = 202
	DeadlineTooNear Code = 203
	NoTarget        Code = 204
	ViewStale       Code = 205
	Draining        Code = 206
	DeadlinePassed  Code = 207
	ColdTargets     Code = 208
	NoWitness       Code = 209
	RetryBudget     Code = 210
	EnginesCrowded  Code = 211
	BodiesHeld      Code = 212
	TargetsPaused   Code = 213
	TargetsLimited  Code = 214

	TargetLost      Code = 301
	AnswerTruncated Code = 302
	OutcomeUnknown  Code = 303
	TargetRefused   Code = 304
	KeyDead         Code = 305
	MovedOn         Code = 306
	AnswerCrossed   Code = 307
	KeyReused       Code = 308
	TargetTimeout   Code = 309
	CallerGone      Code = 310

	Syntax           Code = 401
	UnknownField     Code = 402
	WrongType        Code = 403
	OutOfRange       Code = 404
	MissingField     Code = 405
	UnknownReference Code = 406
	Duplicate        Code = 407
	BadUnit          Code = 408
	DocumentTooLarge Code = 409
	BadAddress       Code = 410
	BadSecret        Code = 411
	Unused           Code = 412
	Contradiction    Code = 413
)

// CodeInfo describes one result code.
type CodeInfo struct {
	// Name is the camel case name in responses, logs and metrics.
	Name string
	// Status is the HTTP status sent with the code, 0 if the code never ends a
	// request.
	Status int
	// Text is a short explanation for human readers.
	Text string
}

var codes = map[Code]CodeInfo{
	OK:                {"ok", 200, "the answer is whole"},
	BadRequest:        {"badRequest", 400, "the request can't be read"},
	Unauthorized:      {"unauthorized", 401, "no client account has this API key"},
	UnknownModel:      {"unknownModel", 404, "no such model in the document in force"},
	TooLarge:          {"tooLarge", 413, "the request exceeds a size limit"},
	UnknownService:    {"unknownService", 404, "no such service in the document in force"},
	KeyRequired:       {"keyRequired", 428, "this call needs an idempotency key minted by a VM"},
	KeyInvalid:        {"keyInvalid", 400, "the idempotency key was not minted by this system for this client account"},
	KeyExpired:        {"keyExpired", 409, "the idempotency key has expired"},
	UnknownGeneration: {"unknownGeneration", 404, "the generation's identity is not valid for this client account"},
	TooSlow:           {"tooSlow", 408, "the request did not arrive in time"},
	UnknownRoute:      {"unknownRoute", 404, "no route of the routing in force has this host and path"},
	HeadTooLarge:      {"headTooLarge", 431, "the request's head exceeds a size limit"},
	PromptQuarantined: {"promptQuarantined", 422, "the request, or a part of its prompt, has crashed several targets; repeating the request does not help"},
	AccountLimit:      {"accountLimit", 429, "the client account has reached its limit on this VM"},
	QueueFull:         {"queueFull", 503, "the queue on this VM is full"},
	DeadlineTooNear:   {"deadlineTooNear", 503, "the deadline can't be met at the present load"},
	NoTarget:          {"noTarget", 503, "no target may take the request"},
	ViewStale:         {"viewStale", 503, "this VM can't confirm the document in force"},
	Draining:          {"draining", 503, "this VM is leaving"},
	DeadlinePassed:    {"deadlinePassed", 504, "the deadline passed before the request was sent"},
	ColdTargets:       {"coldTargets", 503, "the targets are cold and this VM holds no free slot"},
	NoWitness:         {"noWitness", 503, "the key's witness did not confirm; the key is dead"},
	RetryBudget:       {"retryBudget", 503, "the retry budget is used up"},
	EnginesCrowded:    {"enginesCrowded", 503, "no engine has room for the generation in its time"},
	BodiesHeld:        {"bodiesHeld", 503, "this VM holds as many request bodies as it may"},
	TargetsPaused:     {"targetsPaused", 503, "every target has asked this VM for a pause"},
	TargetsLimited:    {"targetsLimited", 503, "every target has reached the limit of requests that it has named"},
	TargetLost:        {"targetLost", 502, "the target was lost after tokens were delivered"},
	AnswerTruncated:   {"answerTruncated", 502, "the target's answer ended early"},
	OutcomeUnknown:    {"outcomeUnknown", 502, "the call may or may not have run"},
	TargetRefused:     {"targetRefused", 503, "the target refused the request and proved that it did not run"},
	KeyDead:           {"keyDead", 409, "the key was given up before it ran; it will never run"},
	MovedOn:           {"movedOn", 503, "this VM is leaving; resume at another VM"},
	AnswerCrossed:     {"answerCrossed", 502, "the target answered another request"},
	KeyReused:         {"keyReused", 422, "the key belongs to a different request"},
	TargetTimeout:     {"targetTimeout", 504, "the time was over before the target had answered"},
	CallerGone:        {"callerGone", 0, "the caller left before its answer"},
	Syntax:            {"syntax", 0, "the text is not JSON with comments"},
	UnknownField:      {"unknownField", 0, "the field is not known"},
	WrongType:         {"wrongType", 0, "the value has the wrong type"},
	OutOfRange:        {"outOfRange", 0, "the value is out of range"},
	MissingField:      {"missingField", 0, "a required field is missing"},
	UnknownReference:  {"unknownReference", 0, "the value names something that does not exist"},
	Duplicate:         {"duplicate", 0, "the name stands twice"},
	BadUnit:           {"badUnit", 0, "the duration has no valid unit"},
	DocumentTooLarge:  {"documentTooLarge", 0, "the document exceeds one megabyte"},
	BadAddress:        {"badAddress", 0, "the address is not IP:port"},
	BadSecret:         {"badSecret", 0, "the value is not a hexadecimal SHA-256 digest"},
	Unused:            {"unused", 0, "nothing can use the entry"},
	Contradiction:     {"contradiction", 0, "the value contradicts another one"},
}

// Codes returns a copy of the table of result codes.
func Codes() map[Code]CodeInfo {
	out := make(map[Code]CodeInfo, len(codes))
	for c, info := range codes {
		out[c] = info
	}
	return out
}

// Info returns the description of the code. For an unknown code, the name is
// its number and the status is 500.
func (c Code) Info() CodeInfo {
	if info, ok := codes[c]; ok {
		return info
	}
	return CodeInfo{Name: strconv.Itoa(int(c)), Status: 500, Text: "unknown code"}
}

// String returns the camel case name of the code.
func (c Code) String() string { return c.Info().Name }
