"""The host on real sockets: does the I/O for a router and executes its commands."""
