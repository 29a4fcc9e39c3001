// Rig-3 starts small deployments of relay processes on loopback and checks one rule of the
// platform's pages in each case of the third review.
//
// Usage: review-3 CASE PROGRAM TEMPLATE RECORD. The exit status is 0 if the rule held, 1 if it
// was broken, and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main
