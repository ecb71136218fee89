; The operators' own settings, each with its default. The platform's file names this
; one as `operator_file`; whatever is left out here has its default.
((leader-lease-s . 2.5)
 (idle-s . 10.0)
 (headroom . 0.0)
 (borrow-after-s . 30.0)
 (estimate-s . 60.0)
 (in-time-worth . 1.5)
 (ways-by-others . #t))
