// Package evidence turns what sidecars have counted into windows of new and control, and has package judge judge them. It is pure: no clock,
// no I/O.
//
// Three rates are compared in each class: of requests that were refused, that failed, and that were slow, which means longer than a tenth of
// the control's first requests took; the requests that this bound is drawn from are not judged by it. Besides, over all classes and in pairs:
// processor time, attempts and new connections per request, health checks, and the growth of memory over short and over long spans, where the
// sidecars of both sides have about the same load.
//
// The new sidecars are those of the stage that run the new release. The control is the old sidecars that were restarted for it, or all that
// are left if the plan has none restarted. Zones are not alike: new is compared with control in each zone by itself, and over all zones only
// by what each zone adds to both, its control weighted as its new counts are. A zone may show that the new release is worse; that it is no
// worse has to be shown over all zones together, because most zones have too little traffic.
//
// The baseline is of another time: what the untouched old sidecars do is compared with what all did before anything was changed. A difference
// says that something has changed, and not what; it pauses a change and does not stop one.
//
// Assumptions: a process is counted from its first reading on; the machines of new and control have the same kind of processor and memory.
package evidence
