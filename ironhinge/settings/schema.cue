// The schema of operations files. Both sections are optional, so an empty file is valid.

#Operations: {
    traffic?: #Traffic
    disk?: #Disk
}

// The director's own cache tier, on a persistent disk.
#Disk: {
    folder: string & !=""
    room: Size & >="1MB"                     // capacity for copies, without checkpoints
    segment: *"16MiB" | Size & >="512KiB" & <="256MiB"   // size of a file of the log; larger copies don't fit
    entries: *65536 | int & >=1000 & <=16000000   // most parts in the index; 59 to 118 bytes of memory each
    patience: *"50ms" | Span & >="1ms"       // read timeout, after which the request goes to the caches
    object_share: *0.05 | number & >0 & <=1  // largest share of the room for parts of one object
    class_share: *0.5 | number & >0 & <=1    // largest share of the room for parts of one size class
    write?: Rate & >"0B/s"                   // limits admission to the disk, as writes wear it out
    background: *"8MB/s" | Rate & >"0B/s"    // bytes read and written by compaction, checkpoints and scrubs
}

// Accounting of the bytes that fills transfer, and the budgets that limit them.
#Traffic: {
    period: *"30d" | Span & >="1s"           // billing period
    most_streams: *10000 | int & >=0 & <=1000000   // open streams that are tracked
    distributions: *false | bool             // histograms of the sizes and durations of fills
    budgets: {[string]: #Budget}
    prices: *[] | [...#Price]
    keep?: #Keep
    metrics?: #Metrics
    share?: #Share
}

// Where the bytes of a fill come from: a parent in the hub of the cache's location or in another hub, the
// origin, or another cache.
#Way: "own-hub" | "other-hub" | "origin" | "neighbour"

// A budget limits the fills that match all its criteria. It needs a rate, a sum, or both.
#Budget: {
    ways: *["other-hub"] | [...#Way]
    into?: string                            // zone of the cache that is filled
    out_of?: string                          // zone of the source of the fill
    vhosts?: [...string]
    within?: string                          // an enclosing budget, which must have room as well
    scope: *"branch" | "all"                 // which directors share it: those of one location, or all
    rate?: Rate & >"0B/s"
    burst?: Size & >"0B"                     // default: one second at the rate
    sum?: Size & >"0B"                       // per period, paced evenly over the rest of the period
    ahead: *0.02 | number & >0 & <=1         // share of the sum that may be spent ahead of that pace
    begin: *"empty" | "full"                 // state at the start of a director without a snapshot
    emergency?: #Emergency
    streams?: #Streams
}

// Extra allowance for diverted fills, used once the budget is exhausted. A fill is diverted if it comes from
// the origin or a hub, but not from the preferred hub of its object.
#Emergency: {
    rate: Rate & >"0B/s"
    burst?: Size & >"0B"
    sum?: Size & >"0B"
    remember: *"10m" | Span & >"0s"          // how long a removed hub can remain preferred
}

// Reservations for open streams of parts, which take precedence over all other fills.
#Streams: {
    part: *0.7 | number & >0 & <=1           // largest share of rate and burst that streams may reserve
    idle: *"3s" | Span & >"0s"               // a stream ends at the latest after this time without a request
    interval: *"600ms" | Span & >"0s"        // assumed time between two parts until it has been measured
}

// The price of the fills that match all its criteria. If several prices match, the last one applies.
#Price: {
    ways: *["own-hub", "other-hub", "origin", "neighbour"] | [...#Way]
    into?: string
    out_of?: string
    per_gb: number & >=0
}

// Snapshots of the account and its budgets, for restarts and reports.
#Keep: {
    folder: string & !=""
    every: *"10s" | Span & >="100ms"
}

// The listener for scrapes by a metrics system; on loopback by default.
#Metrics: {
    port: int & >0 & <65536
    host: *"127.0.0.1" | string
}

// Directors grant unused budget to peers that need it, where the platform allows messages between peers.
#Share: {
    every: *"100ms" | Span & >="20ms"
    give: *0.5 | number & >0 & <=1           // granted share of what a bucket has above half of its capacity
}
