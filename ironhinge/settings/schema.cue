// What an operations file may say. Every field has a default or may be left out, so an empty file is a good one.

#Operations: {
    traffic?: #Traffic
    disk?: #Disk
}

// A second tier of copies on a lasting disk.
#Disk: {
    folder: string & !=""
    room: Size & >="1MB"
    segment: *"16MiB" | Size & >="512KiB" & <="256MiB"
    entries: *65536 | int & >=1000 & <=16000000   // parts; each costs 59 to 118 bytes of memory
    patience: *"50ms" | Span & >="1ms"       // past it a req goes on to the caches
    object_share: *0.05 | number & >0 & <=1  // of the room, that parts of one object may take
    class_share: *0.5 | number & >0 & <=1    // that parts of one size class may take
    write?: Rate & >"0B/s"                   // what admission may write; a disk's life is its writes
    background: *"8MB/s" | Rate & >"0B/s"    // what compaction, checkpoints and scrubs may move
}

// The account of bytes that fills carry, and the budgets that they are held to.
#Traffic: {
    period: *"30d" | Span & >="1s"           // of billing
    most_streams: *10000 | int & >=0 & <=1000000
    distributions: *false | bool             // of sizes and times, in histograms
    budgets: {[string]: #Budget}
    prices: *[] | [...#Price]
    keep?: #Keep
    metrics?: #Metrics
    share?: #Share
}

#Way: "own-hub" | "other-hub" | "origin" | "neighbour"

// A budget holds for the fills that match all it names. It needs a rate, a sum, or both.
#Budget: {
    ways: *["other-hub"] | [...#Way]
    into?: string                            // the zone of the cache
    out_of?: string                          // the zone of the source
    vhosts?: [...string]
    within?: string                          // a budget that has to have room as well
    scope: *"branch" | "all"                 // whose directors share it
    rate?: Rate & >"0B/s"
    burst?: Size & >"0B"                     // default: what the rate gives in a second
    sum?: Size & >"0B"                       // of a period, paced over what is left of it
    ahead: *0.02 | number & >0 & <=1         // part of the sum that may be spent ahead of that pace
    begin: *"empty" | "full"                 // a director that comes up knowing nothing
    emergency?: #Emergency
    streams?: #Streams
}

// What forced crossings may draw besides, once the budget is spent.
#Emergency: {
    rate: Rate & >"0B/s"
    burst?: Size & >"0B"
    sum?: Size & >"0B"
    remember: *"10m" | Span & >"0s"          // for how long a hub that went still counts as the one that should serve
}

// Streams of parts that were begun go before all else.
#Streams: {
    part: *0.7 | number & >0 & <=1           // of the rate that streams may be promised
    idle: *"3s" | Span & >"0s"               // a stream that asks nothing for that long has stopped
    interval: *"600ms" | Span & >"0s"        // between two parts, until streams were seen
}

#Price: {
    ways: *["own-hub", "other-hub", "origin", "neighbour"] | [...#Way]
    into?: string
    out_of?: string
    per_gb: number & >=0
}

#Keep: {
    folder: string & !=""
    every: *"10s" | Span & >="100ms"
}

// A listener for scrapes; loopback unless the operator says otherwise.
#Metrics: {
    port: int & >0 & <65536
    host: *"127.0.0.1" | string
}

// Directors that may talk to their peers hand what they don't need to those that do.
#Share: {
    every: *"100ms" | Span & >="20ms"
    give: *0.5 | number & >0 & <=1           // part of what lies above half of a full bucket that is given away
}
