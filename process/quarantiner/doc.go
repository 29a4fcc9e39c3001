// Package quarantiner keeps requests away from engines that carry a part of a prompt that
// crashes engines. A part is suspected if an engine crashes as it begins to answer a request
// with it, and cleared by the first event of any answer to a request with it. What VMs
// observe spreads with the gossip.
//
// It does not send requests, and does not judge engines.
package quarantiner
