//! UDP relay between daemons: network distance and faults.
