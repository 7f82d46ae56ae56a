"""Every scheduling decision: who is sent where and when. Free of I/O; events in, actions out."""
