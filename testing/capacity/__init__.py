"""Works out what each role costs at the size to design for.

Slopes are measured on this machine, at three sizes or more, with small fakes
at the interfaces; `model` multiplies them up.
"""

from __future__ import annotations
