package fleet

import "context"

// Caller sends requests and notifications to one peer process.
type Caller interface {
	// Call sends a request, waits for its result and decodes it into reply.
	Call(ctx context.Context, method string, params, reply any) error
	// Notify sends a notification, which has no reply and may be lost.
	Notify(ctx context.Context, method string, params any) error
}

// Subscriber is a peer to which notifications can be sent that were encoded once for many.
type Subscriber interface {
	Caller
	// NotifyEncoded sends notifications in order. They may be lost.
	NotifyEncoded(ctx context.Context, messages ...EncodedNotification) error
}

// EncodedNotification is a notification in the form in which it is sent.
type EncodedNotification []byte
