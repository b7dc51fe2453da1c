package relayer

import (
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/headerline"
	"zinniatide.example/zinniatide/router"
)

// admitByKey determines the workspace of a request and completes its head. It reports
// whether the request may go on; otherwise it has refused it. A VM that may have missed
// a newer table asks the caller to come back: the key may be known there.
func (r *Relayer) admitByKey(req *Request, route *router.Route, respond func(Reply)) bool {
	workspace, ok := r.keys.Authenticate(&route.Route, req.Credential)
	if !ok {
		reason := "unknown key"
		if len(req.Credential) == 0 {
			reason = "no key"
		}
		if age := r.confirmationAge(); age > maxConfirmationAge {
			r.refuse(req, route, respond, fasthttp.StatusServiceUnavailable, reason+" in an unconfirmed table", startupRetryAfter, "confirmed-ms-ago", age)
			return false
		}
		r.refuse(req, route, func(reply Reply) {
			reply.Header = headerline.Append(reply.Header, "WWW-Authenticate", r.deps.Names.CredentialScheme)
			respond(reply)
		}, fasthttp.StatusUnauthorized, reason, 0)
		return false
	}
	req.Workspace = workspace
	switch {
	case !r.table.KeysRequired:
		req.Head = append(req.Head, req.KeyHeaders...)
	case workspace != "":
		req.Head = headerline.Append(req.Head, r.deps.Names.Workspace, string(workspace))
	}
	// All sends of the request and its delegations use Head. Nothing needs the key from
	// here on.
	req.Credential, req.KeyHeaders = nil, nil
	return true
}

// priorityOf returns the priority of a request: that of its workspace or else that of
// its route.
func (r *Relayer) priorityOf(workspace zinniatide.WorkspaceID, route *router.Route) int {
	if w := r.table.Workspace(workspace); w != nil && w.Priority != nil {
		return *w.Priority
	}
	return route.Priority
}
