# A gatekeeper of our own before two calculators on this machine. Keys that are not
# known are refused with their line; `foxwood check deploy/operator.hcl` says them all.
# docs/operators/configuration.md explains every key.
name   = "local"
listen = "127.0.0.1:8080"

limits {
  memory_mb = 192
  sockets   = 1024
}

openapi {
  description  = "deploy/calculadora.yaml"
  customer     = "X-Api-Key"
  deadline     = "X-Expires-In-Ms"
  plans        = { "banco-sur" = "mayor" }
  default_plan = "basico"
}

attempts {
  most = 3
}

cold { # a worker that has just started gets a part of a warm one's requests at first
  share         = 0.16
  for_ms        = 14000
  fall_multiple = 3
  fall_ms       = 1500
}

load_reports = ["latency_ms", "inflight"]
settles      = true # answers tell the true units in X-Cost-Units
largest      = 6

plan "basico" {
  rate      = 1.4 # units a second
  burst     = 12
  price     = 0.8
  over_cost = 1.2
}

plan "mayor" {
  rate          = 19
  burst         = 28
  price         = 1.6
  over_cost     = 1.2
  ceiling_rate  = 35
  ceiling_burst = 53
  ceiling_slack = 6
}

pool "calculators" {
  transport = "one-at-a-time" # or pipeline, http2, batch: docs/operators/transports.md
  idle_ms   = 30000

  worker "calc-1" {
    address = "127.0.0.1:9001"
    zone    = "hall-norte"
    cell    = 1
  }
  worker "calc-2" {
    address = "127.0.0.1:9002"
    zone    = "hall-norte"
    cell    = 1
  }
}
