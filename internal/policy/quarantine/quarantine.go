// Package quarantine knows requests again by what they ask.
//
// # Usage
//
//	fingerprint := quarantine.Of(quarantine.Asked{Workspace: workspace, Method: method, Target: target, Body: body})
package quarantine
