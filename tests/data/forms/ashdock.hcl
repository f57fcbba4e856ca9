# Each block and attribute that an operator may set.
duties {
  machines = ["controller-1", "controller-3"]
}

fairness {
  weights = {
    team-1 = 2
    "team-2" = 0.5
  }
}

retry {
  first_delay_s = 5
  factor = 1.5
  cap_s = 45.5
  park_at_once_s = 4
  horizon_s = 600
  most_parks = 7
}

renting {
  idle_boots = 2.5
  spot = false
  most_machines = 40
}
