"""Which servers are there, by what discovery tells and by what the sockets show. Rules without I/O.

`evidence` and `releases` are the decision module's; `watching` and `idling` the shells' (`proxy`, and the
lab's simulated proxy, which so meet the same rules).
"""
