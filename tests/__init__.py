"""The tests of ashdock, their fakes, and the tools that measure it in simulated time."""
