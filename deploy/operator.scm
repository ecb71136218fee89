; The operators' settings, each with its default value. The platform's file names this
; file in `operator_file`. A setting that is left out has its default.
((leader-lease-s . 2.5)
 (idle-s . 10.0)
 (headroom . 0.0)
 (borrow-after-s . 30.0)
 (estimate-s . 60.0)
 (in-time-worth . 1.5)
 (ways-by-others . #t))
