"""Decision logic of gypsumpost without sockets or clocks."""
