//! Tests of whole deployments over loopback sockets. They check the records of the stand-ins, wait for events, and set
//! no limit on wall-clock time, which a loaded machine could exceed.

mod interface;
mod losses;
mod stops;
mod submissions;
mod support;
