// The operators' settings on this platform. It has no persistent disk and no spare listener, so nothing is
// enabled: `run` in balancer.toml does not pass this file. `ironhinge settings schema` prints all fields that
// are allowed here; docs/traffic.md and docs/operators-traffic.md describe what they do.
//
// traffic: {
//     period: "30d"
//     keep: {folder: "/var/lib/ironhinge/traffic"}
//     budgets: {
//         link_in: {ways: ["own-hub", "other-hub", "origin"], rate: "40MB/s", burst: "40MB", streams: {}}
//         other_hubs: {within: "link_in", rate: "10MB/s", sum: "12TB", emergency: {rate: "10MB/s", sum: "1TB"}}
//     }
//     prices: [{ways: ["other-hub"], per_gb: 0.02}, {ways: ["origin"], per_gb: 0.05}]
// }
// disk: {folder: "/var/lib/ironhinge/tier", room: "200GB"}
