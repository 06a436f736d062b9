//! Load generator: open-loop arrivals, checked answers, records of what callers sent and received.
