#!/usr/bin/env python3
"""Stand-ins of the platform (state service, cloud, workers, users) over loopback, a checker of the rules,
and a driver of real controllers. Standard library only."""
import asyncio, json, os, random, signal, socket, subprocess, sys, tempfile, time, shutil

T0 = time.monotonic()
def now(): return time.monotonic() - T0

class Record:
    def __init__(self, path): self.f = open(path, "w")
    def __call__(self, *a):
        self.f.write("%8.3f %s\n" % (now(), " ".join(str(x) for x in a))); self.f.flush()

# ---------------------------------------------------------------- HTTP
async def read_message(reader, is_response):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for l in lines[1:]:
        if ":" in l:
            k, v = l.split(":", 1); headers[k.strip().lower()] = v.strip()
    n = int(headers.get("content-length", "0"))
    body = await reader.readexactly(n) if n else b""
    return lines[0].split(" "), headers, body

DROP = object()      # the request gets no answer
RESET = object()     # the connection is reset

async def http_server(handler, port=0):
    """handler(method, target, body) -> (status, obj) | DROP | RESET"""
    async def on_conn(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader, False)
                out = await handler(first[0], first[1], body)
                if out is DROP:
                    await asyncio.sleep(600); return
                if out is RESET:
                    writer.transport.abort(); return
                status, obj = out
                data = json.dumps(obj).encode() if not isinstance(obj, bytes) else obj
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            try: writer.close()
            except Exception: pass
    srv = await asyncio.start_server(on_conn, "127.0.0.1", port, limit=1 << 24, backlog=512)
    return srv, srv.sockets[0].getsockname()[1]

class Client:
    """Keep-alive client to one address."""
    def __init__(self, addr): self.addr, self.idle = addr, []
    async def call(self, method, target, obj=None, timeout=5.0):
        """-> (status, obj, headers); raises on failure"""
        return await asyncio.wait_for(self._call(method, target, obj), timeout)
    async def _call(self, method, target, obj):
        data = b"" if obj is None else (obj if isinstance(obj, bytes) else json.dumps(obj).encode())
        while True:
            reused = bool(self.idle)
            r, w = self.idle.pop() if reused else await asyncio.open_connection(*self.addr, limit=1 << 24)
            ok = False
            try:
                w.write(("%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (method, target, len(data))).encode() + data)
                await w.drain()
                first, headers, body = await read_message(r, True)
                ok = headers.get("connection", "").lower() != "close"
                try: parsed = json.loads(body) if body else None
                except ValueError: parsed = None
                return int(first[1]), parsed, headers
            except (asyncio.IncompleteReadError, ConnectionError) as e:
                if reused and isinstance(e, (asyncio.IncompleteReadError, ConnectionResetError, BrokenPipeError)): continue
                raise ConnectionError(str(e))
            finally:
                if ok: self.idle.append((r, w))
                else: w.close()

# ---------------------------------------------------------------- state service
class State:
    def __init__(self, rps, write_rps, value_kb, txn_ops, rec):
        self.rps, self.write_rps, self.value_b, self.txn_ops, self.rec = rps, write_rps, value_kb * 1024, txn_ops, rec
        self.kv, self.gen, self.hist, self.leases, self.next_lease = {}, 0, [], {}, 0
        self.changed = asyncio.Event()
        self.tok_r, self.tok_w, self.t_r, self.t_w = rps, write_rps, now(), now()
        self.mode = {}        # client -> "ok" | "refuse" | "drop"
        self.out = False      # outage for everybody
        self.delay = {}       # client -> seconds
        self.late = None      # (share, at_once)
        self.count429 = 0
    def take(self, which, n):
        t = now()
        if which == "r":
            self.tok_r = min(self.rps, self.tok_r + (t - self.t_r) * self.rps); self.t_r = t
            if self.tok_r < n: return False
            self.tok_r -= n; return True
        self.tok_w = min(self.write_rps, self.tok_w + (t - self.t_w) * self.write_rps); self.t_w = t
        if self.tok_w < n: return False
        self.tok_w -= n; return True
    def emit(self, evs):
        self.hist.extend(evs); self.hist = self.hist[-10000:]
        self.changed.set(); self.changed = asyncio.Event()
    def end_lease(self, l):
        if self.leases.pop(l, None) is None: return False
        keys = [k for k, e in self.kv.items() if e[2] == l]
        if keys:
            self.gen += 1
            for k in keys: del self.kv[k]
            self.emit([{"delete": k, "stamp": self.gen} for k in keys])
        return True
    async def ticker(self):
        was_out = False
        while True:
            await asyncio.sleep(0.02)
            if self.out: was_out = True; continue
            if was_out:
                was_out = False
                for l in self.leases: self.leases[l][0] = now() + self.leases[l][1]
            for l in [l for l, (u, _) in self.leases.items() if now() > u + 0.03]:
                self.rec("state lease", l, "ended"); self.end_lease(l)
    def refused(self, who):
        return self.out or self.mode.get(who) == "refuse"
    def handler(self, who):
        async def h(method, target, body):
            if self.mode.get(who) == "drop": return DROP
            d = self.delay.get(who, 0.0) + random.uniform(0.001, 0.006)
            await asyncio.sleep(d)
            if self.mode.get(who) == "drop": return DROP
            if self.refused(who): return 503, {"error": "out"}
            if not self.take("r", 1): self.count429 += 1; return 429, {}
            path, _, q = target.partition("?")
            qs = dict(p.split("=", 1) for p in q.split("&") if "=" in p)
            if path == "/watch": return await self.watch(who, qs)
            if path == "/store" : return self.listing(qs)
            if path.startswith("/store/"):
                k = path[7:]
                if k in self.kv:
                    v, s, l = self.kv[k]; o = {"k": k, "data": v, "stamp": s}
                    if l: o["permit"] = l
                    return 200, o
                return 404, {"generation": self.gen}
            if path == "/txn":
                req = json.loads(body)
                if self.late and random.random() < self.late[0]:
                    share, at_once = self.late
                    if at_once: self.txn(who, req, body); return DROP
                    async def later():
                        await asyncio.sleep(random.uniform(2, 12))
                        if not self.out: self.rec("state late txn", self.txn(who, req, body))
                    asyncio.ensure_future(later()); return DROP
                return self.txn(who, req, body)
            if path == "/leases":
                self.next_lease += 1; ttl = json.loads(body)["ttl_ms"] / 1000.0
                self.leases[self.next_lease] = [now() + ttl, ttl]
                return 200, {"permit": self.next_lease}
            if path.startswith("/leases/"):
                parts = path.split("/"); l = int(parts[2])
                if method == "DELETE": return (200 if self.end_lease(l) else 404), {}
                if l not in self.leases: return 404, {}
                self.leases[l][0] = now() + self.leases[l][1]; return 200, {"permit": l}
            return 400, {}
        return h
    def listing(self, qs):
        pre, after, page = qs.get("prefix", ""), qs.get("after", ""), min(int(qs.get("page", 1000)), 1000)
        out, size, more = [], 0, False
        for k in sorted(self.kv):
            if not k.startswith(pre) or k <= after: continue
            v, s, l = self.kv[k]; o = {"k": k, "data": v, "stamp": s}
            if l: o["permit"] = l
            n = len(json.dumps(o))
            if len(out) >= page or size + n > 512 * 1024: more = True; break
            out.append(o); size += n
        return 200, {"pairs": out, "more": more, "generation": self.gen}
    def txn(self, who, req, body):
        guards, then = req.get("guards", []), req.get("then", [])
        if len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops or len(body) > 65536: return 400, {"error": "too large"}
        if then and not self.take("w", len(then)): self.count429 += 1; return 429, {}
        for c in then:
            if "write" in c:
                if len(json.dumps(c["data"], separators=(",", ":"))) > self.value_b: return 400, {"error": "value too large"}
                if c.get("permit") and c["permit"] not in self.leases: return 400, {"error": "no such lease"}
        failed = [g["k"] for g in guards if (self.kv[g["k"]][1] if g["k"] in self.kv else 0) != g["stamp"]]
        if failed: return 409, {"failed": failed, "generation": self.gen}
        if not then: return 200, {"generation": self.gen}
        self.gen += 1; evs = []
        for c in then:
            if "write" in c:
                self.kv[c["write"]] = (c["data"], self.gen, c.get("permit"))
                evs.append({"write": c["write"], "data": c["data"], "stamp": self.gen})
                if c["write"].startswith(("jh/part", "jh/leader", "jh/session")): self.rec("state", who, "writes", c["write"], json.dumps(c["data"]))
            elif c["delete"] in self.kv:
                del self.kv[c["delete"]]; evs.append({"delete": c["delete"], "stamp": self.gen})
        self.emit(evs)
        return 200, {"generation": self.gen}
    async def watch(self, who, qs):
        pre, after, block = qs.get("prefix", ""), int(qs.get("after", 0)), int(qs.get("block_ms", 0)) / 1000.0
        end = now() + block
        while True:
            if not (self.out or self.mode.get(who) == "refuse"):
                if after < self.gen and self.hist and self.hist[0]["stamp"] > after + 1 and len(self.hist) >= 10000: return 410, {}
                evs = [e for e in self.hist if e["stamp"] > after and (e.get("write") or e.get("delete")).startswith(pre)]
                if evs or now() >= end: return 200, {"generation": self.gen, "news": evs}
            ev = self.changed
            try: await asyncio.wait_for(ev.wait(), max(0.01, min(end - now(), 0.5)) if end > now() else 0.1)
            except asyncio.TimeoutError: pass
            if self.mode.get(who) == "drop": return DROP

# ---------------------------------------------------------------- checker
class Checker:
    def __init__(self, rec, cancel_s, teams):
        self.rec, self.cancel_s, self.teams = rec, cancel_s, teams
        self.on = {}            # shard -> {host: since}
        self.jobs = {}          # uid -> submission
        self.cancelled = {}     # uid -> time told
        self.done_tasks = {}    # uid -> set
        self.broken = []
        self.starts = 0
        self.seen_late = set()
    def fail(self, rule, *a):
        self.broken.append((rule, " ".join(map(str, a)))); self.rec("BROKEN", rule, *a)
    def start(self, host, shard, tr):
        """the task is on its machine from now on"""
        uid, i = shard.split("/"); j = self.jobs.get(uid)
        self.starts += 1
        others = [h for h in self.on.get(shard, {}) if h != host.uid]
        self.rec("task", shard, "try", tr, "is on", host.uid)
        if others: self.fail("ran_twice", shard, "starts on", host.uid, "while on", others)
        if j is None: self.fail("nobody_sent", shard, "on", host.uid); return
        if uid in self.cancelled and now() > self.cancelled[uid] + self.cancel_s: self.fail("ran_cancelled", shard, "starts", round(now() - self.cancelled[uid], 1), "s after")
        for d in j.get("waits_on") or []:
            if len(self.done_tasks.get(d, ())) < self.jobs[d]["shards"]: self.fail("too_early", shard, "before", d)
        same = [(s, h) for s, hs in self.on.items() if s.split("/")[0] == uid and s != shard for h in hs]
        if j.get("hall") and host.hall != j["hall"] or j.get("hosttypes") and host.typ not in j["hosttypes"] or host.spot and not j["reclaimable"]:
            self.fail("wrong_place", shard, host.uid)
        zones = [HOSTS[h].hall for _, h in same] + [host.hall]
        if j["together"] and len(set(zones)) > 1: self.fail("wrong_place", shard, "together", zones)
        if j["apart"] and zones.count(host.hall) > (j["shards"] + 1) // 2: self.fail("wrong_place", shard, "apart", zones)
        self.on.setdefault(shard, {})[host.uid] = now()
        use = 0.0
        for s, hs in self.on.items():
            jj = self.jobs.get(s.split("/")[0])
            if jj and jj["tenant"] == j["tenant"]: use += jj["accelerators"] * len(hs)
        lim = self.teams.get(j["tenant"], 0)
        if lim and use > lim + 1e-6: self.fail("quota", j["tenant"], use, ">", lim)
    def end(self, host, shard, why):
        if self.on.get(shard, {}).pop(host.uid, None) is not None: self.rec("task", shard, "leaves", host.uid, why)
        if shard in self.on and not self.on[shard]: del self.on[shard]
        if why == "done":
            uid, i = shard.split("/"); self.done_tasks.setdefault(uid, set()).add(int(i))
    async def ticker(self):
        while True:
            await asyncio.sleep(0.1)
            for shard, hs in list(self.on.items()):
                uid = shard.split("/")[0]
                if uid in self.cancelled and now() > self.cancelled[uid] + self.cancel_s and shard not in self.seen_late:
                    self.seen_late.add(shard); self.fail("ran_cancelled", shard, "still on", list(hs), round(now() - self.cancelled[uid], 1), "s after")

HOSTS = {}
WORLDS = []

# ---------------------------------------------------------------- workers
class Worker:
    def __init__(self, w, uid, typ, hall, spot):
        self.w, self.uid, self.typ, self.hall, self.spot = w, uid, typ, hall, spot
        self.t = w.types[typ]
        self.tenure, self.counter, self.epoch = 1, 0, 0
        self.tasks = {}                 # (shard, try) -> dict
        self.began = now(); self.answered = None
        self.images, self.fetching = [], {}
        self.gone = False; self.hung = False; self.sick = False; self.deaf = False; self.mute = False
        self.late_cmd = None            # (share, lo, hi)
        self.cmd_filter = None
        self.wake = asyncio.Event(); self.notice = None
        self.server = None; self.at = random.randrange(len(w.nodes)); self.conns = {}
        self.jobs_running = []
        HOSTS[uid] = self
    def report(self):
        self.counter += 1
        sh = []
        for (s, tr), k in self.tasks.items():
            o = {"shard": s, "try": tr, "phase": k["phase"]}
            if k["phase"] == "exited":
                o["cause"] = k["cause"]
                if k.get("kept"): o["kept"] = True
            sh.append(o)
        return {"host": self.uid, "address": "127.0.0.1:%d" % self.port, "hosttype": self.typ, "hall": self.hall, "reclaimable": self.spot,
                "tenure": self.tenure, "counter": self.counter, "epoch": self.epoch,
                "warning_s": None if self.notice is None else max(0.0, self.notice - now()), "shards": sh}
    def used(self):
        u = [0.0, 0.0, 0.0]
        for (s, _), k in self.tasks.items():
            if k["phase"] != "exited":
                j = self.w.check.jobs[s.split("/")[0]]
                u[0] += j["vcpus"]; u[1] += j["accelerators"]; u[2] += j["memory_gb"]
        return u
    def exit(self, key, cause, kept=False):
        k = self.tasks.get(key)
        if not k or k["phase"] == "exited": return
        k["phase"], k["cause"], k["kept"] = "exited", cause, kept
        if k.get("job"): k["job"].cancel()
        self.w.check.end(self, key[0], cause); self.wake.set()
    def kill_all(self, why):
        for key, k in list(self.tasks.items()):
            if k.get("job"): k["job"].cancel()
            if k["phase"] != "exited": self.w.check.end(self, key[0], why)
        self.tasks = {}
    def lease_check(self):
        base = self.began if self.answered is None else self.answered
        if now() - base > self.w.lease_s:
            if self.tasks: self.w.rec(self.uid, "lease expired, kills", [s for s, _ in self.tasks])
            self.kill_all("lease"); self.tenure += 1; self.counter = 0; self.began = now(); self.answered = None; self.wake.set()
    async def lease_loop(self):
        while not self.gone:
            await asyncio.sleep(0.05)
            self.lease_check()
    async def task(self, key):
        shard, tr = key; uid, i = shard.split("/"); j = self.w.check.jobs[uid]; k = self.tasks[key]
        img = j["bundle"]
        if img not in self.images:
            if img not in self.fetching:
                async def fetch():
                    await self.pausable(j["size_gb"] / self.t["pull_gb_per_s"])
                    self.images.append(img); self.fetching.pop(img, None)
                self.fetching[img] = asyncio.ensure_future(fetch())
            await asyncio.shield(self.fetching[img])
        if k["phase"] != "pulling": return
        self.w.check.start(self, shard, tr)
        if shard in self.w.results: self.exit(key, "done"); return
        if j["shape"] == "ensemble":
            g = self.w.gangs.setdefault((uid, tr), {"on": {}, "started": False, "go": asyncio.Event()})
            g["on"][int(i)] = (self, key); k["phase"] = "waiting"; self.wake.set()
            if len(g["on"]) == j["shards"]: g["started"] = True; g["go"].set()
            try: await asyncio.wait_for(g["go"].wait(), self.w.gang_wait_s)
            except asyncio.TimeoutError: g["on"].pop(int(i), None); self.exit(key, "incomplete"); return
        k["phase"] = "running"; self.wake.set()
        if j["shape"] == "daemon":
            await asyncio.sleep(100000)
        run = self.w.run_s(uid, int(i))
        if self.w.mistake(uid) or self.sick: await self.pausable(min(self.w.fail_after_s, run)); self.exit(key, "error"); return
        await self.pausable(run)
        if j["shape"] == "ensemble":
            g = self.w.gangs[(uid, tr)]
            for n in range(j["shards"]): self.w.results.add("%s/%d" % (uid, n))
            for h, kk in list(g["on"].values()): h.exit(kk, "done")
        else:
            self.w.results.add(shard); self.exit(key, "done")
    async def pausable(self, s):
        left = s; last = now()
        while left > 0:
            await asyncio.sleep(min(left, 0.05)); t = now()
            if not self.hung: left -= t - last
            last = t
    async def peers_gone(self, uid, tr):
        await asyncio.sleep(self.w.gang_peer_s * random.uniform(0.3, 0.9))
        g = self.w.gangs.get((uid, tr))
        if g and g["started"]:
            for h, kk in list(g["on"].values()): h.exit(kk, "peers")
    def order(self, o):
        key = (o["shard"], o["try"]); k = self.tasks.get(key); uid = o["shard"].split("/")[0]
        if o["verb"] == "run":
            if k: return
            self.w.rec(self.uid, "told run", *key)
            j = self.w.check.jobs.get(uid)
            self.tasks[key] = k = {"phase": "pulling"}
            if j is None: k["phase"], k["cause"] = "exited", "no_such"; return
            if any(s == o["shard"] and kk["phase"] != "exited" for (s, t), kk in self.tasks.items() if t != o["try"]):
                k["phase"], k["cause"] = "exited", "busy"; return
            u = self.used()
            if u[0] > self.t["vcpus"] + 1e-9 or u[1] > self.t["accelerators"] + 1e-9 or u[2] > self.t["memory_gb"] + 1e-9:
                k["phase"], k["cause"] = "exited", "no_room"; return
            k["job"] = asyncio.ensure_future(self.task(key)); self.wake.set()
        elif o["verb"] == "halt":
            if not k or k["phase"] == "exited": return
            self.w.rec(self.uid, "told halt", *key, o.get("wind_down_s"))
            j = self.w.check.jobs[uid]
            if k["phase"] in ("running",) and j["snapshot_every_s"] > 0 and o.get("wind_down_s", 0) >= j["snapshot_s"]:
                k["phase"] = "flushing"; k["job"].cancel()
                async def save():
                    await self.pausable(j["snapshot_s"]); self.exit(key, "halted", True)
                k["job"] = asyncio.ensure_future(save()); self.wake.set()
            elif k["phase"] == "flushing" and o.get("wind_down_s", 0) > 0: return
            else:
                gang = j["shape"] == "ensemble"
                self.exit(key, "halted")
                if gang: asyncio.ensure_future(self.peers_gone(uid, o["try"]))
        elif o["verb"] == "clear":
            if k and k["phase"] == "exited": del self.tasks[key]; self.wake.set()
    async def serve(self, method, target, body):
        while self.hung and not self.gone: await asyncio.sleep(0.02)
        if self.gone: return DROP
        if target == "/inspect":
            if self.deaf: return DROP
            return 200, self.report()
        if target == "/do":
            if self.deaf: return DROP
            req = json.loads(body)
            if self.cmd_filter:
                d = self.cmd_filter(req)
                if d is not None:
                    async def later():
                        await asyncio.sleep(d); await self.serve2(req)
                    asyncio.ensure_future(later()); return DROP
            if self.late_cmd and random.random() < self.late_cmd[0]:
                d = random.uniform(*self.late_cmd[1:])
                async def later():
                    await asyncio.sleep(d); await self.serve2(req)
                asyncio.ensure_future(later()); return DROP
            return await self.serve2(req)
        return 404, {}
    async def serve2(self, req):
        while self.hung and not self.gone: await asyncio.sleep(0.02)
        if self.gone: return DROP
        self.lease_check()
        if "epoch" not in req or "tenure" not in req: return 400, {}
        if req["epoch"] < self.epoch or req["tenure"] != self.tenure: return 409, self.report()
        if req["epoch"] > self.epoch: self.epoch = req["epoch"]; self.wake.set()
        for o in req["orders"]: self.order(o)
        return 200, self.report()
    async def report_loop(self):
        n = len(self.w.nodes)
        while not self.gone:
            if self.hung: await asyncio.sleep(0.02); continue
            sent = now(); rep = self.report(); ten = self.tenure; node = self.at
            self.wake.clear()
            nxt = None
            if self.w.report_tap: self.w.report_tap(self, rep)
            try:
                if self.mute: await asyncio.sleep(4); raise asyncio.TimeoutError
                c = self.conns.setdefault(node, Client(self.w.nodes[node].bind))
                if (self.hall, node) in self.w.cut_reports: await asyncio.sleep(4); raise asyncio.TimeoutError
                st, obj, hd = await c.call("POST", "/hello", rep, 4.0)
                while self.hung and not self.gone: await asyncio.sleep(0.02)
                if self.gone: return
                if now() - sent > 4.0: raise asyncio.TimeoutError
                if self.deaf: await asyncio.sleep(max(0, 4 - (now() - sent))); raise asyncio.TimeoutError
                if st == 200:
                    self.lease_check()
                    if self.tenure == ten and isinstance(obj, dict) and obj.get("epoch", -1) >= self.epoch:
                        self.answered = sent
                        if obj["epoch"] > self.epoch: self.epoch = obj["epoch"]
                        for o in obj.get("orders", []): self.order(o)
                elif st == 421 and isinstance(obj, dict) and obj.get("reports_to") in self.w.by_name and self.w.by_name[obj["reports_to"]] != node:
                    self.at = self.w.by_name[obj["reports_to"]]; await asyncio.sleep(random.uniform(0, 0.5)); continue
                else: nxt = (node + 1) % n
            except (asyncio.TimeoutError, ConnectionError, OSError, ValueError):
                self.conns.pop(node, None); nxt = (node + 1) % n
            if nxt is not None:
                self.at = nxt; await asyncio.sleep(1.0); continue
            gap = self.w.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.sleep(max(0.0, 0.5 - (now() - sent)))
                await asyncio.wait_for(self.wake.wait(), max(0.0, gap - (now() - sent)))
            except asyncio.TimeoutError: pass
    async def run(self):
        self.server, self.port = await http_server(self.serve)
        self.bg = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]
    def die(self):
        self.gone = True; self.kill_all("machine gone")
        for b in self.bg: b.cancel()
        self.server.close()

# ---------------------------------------------------------------- cloud
class Cloud:
    def __init__(self, w, types, lag, boot, capacity):
        self.w, self.types, self.lag, self.boot, self.cap = w, types, lag, boot, capacity
        self.m, self.n, self.names, self.snaps, self.out = {}, 0, {}, [], False
    def add(self, typ, hall, spot, boot):
        self.n += 1; uid = "n-%06d" % self.n
        self.m[uid] = {"uid": uid, "address": None, "hosttype": typ, "hall": hall, "reclaimable": spot, "phase": "booting", "at": now()}
        async def up():
            await asyncio.sleep(boot)
            if uid in self.m:
                wk = Worker(self.w, uid, typ, hall, spot); await wk.run()
                self.m[uid].update(address="127.0.0.1:%d" % wk.port, phase="running")
        asyncio.ensure_future(up()); return uid
    async def ticker(self):
        while True:
            self.snaps.append((now(), [dict(v, held_s=now() - v["at"]) for v in self.m.values()])); self.snaps = self.snaps[-200:]
            await asyncio.sleep(0.25)
    async def handle(self, method, target, body):
        await asyncio.sleep(0.05)
        if self.out: return 503, {"error": "trouble"}
        path, _, q = target.partition("?")
        if path == "/machine_types": return 200, {"hosttypes": self.types}
        if path == "/rentals" and method == "POST":
            r = json.loads(body)
            if r["rental"] in self.names: return 200, {"hosts": self.names[r["rental"]]}
            have = sum(1 for v in self.m.values() if v["hall"] == r["hall"] and v["reclaimable"] == r["reclaimable"])
            k = min(r["how_many"], self.cap.get((r["hall"], r["reclaimable"]), 0) - have)
            if k <= 0: return 503, {"error": "no capacity"}
            out = [self.add(r["hosttype"], r["hall"], r["reclaimable"], self.boot()) for _ in range(k)]
            self.names[r["rental"]] = out; self.w.rec("cloud rents", out); return 200, {"hosts": out}
        if path == "/rentals/release":
            for uid in json.loads(body)["hosts"]:
                v = self.m.pop(uid, None)
                if v:
                    self.w.rec("cloud deletes", uid)
                    if uid in HOSTS: HOSTS[uid].die()
            return 200, {}
        if path == "/rentals":
            qs = dict(p.split("=", 1) for p in q.split("&") if "=" in p)
            t = now() - self.lag * random.uniform(0.8, 1.3)
            snap = [s for s in self.snaps if s[0] <= t]; snap = snap[-1][1] if snap else []
            l = [{k: v for k, v in m.items() if k != "at"} for m in sorted(snap, key=lambda m: m["uid"]) if m["uid"] > qs.get("after", "")]
            return 200, {"hosts": l[:500], "more": len(l) > 500}
        return 400, {}

# ---------------------------------------------------------------- controllers
class Node:
    def __init__(self, w, i, zone): self.w, self.i, self.zone, self.name, self.proc = w, i, zone, "worker-%d" % i, None; self.bind = None; self.expected = False
    def start(self):
        env = dict(os.environ, LOG_LEVEL=self.w.log_level)
        self.log = open("%s/%s.log" % (self.w.dir, self.name), "ab")
        self.proc = subprocess.Popen(self.w.run_cmd + [self.path], stderr=self.log, stdout=subprocess.DEVNULL, stdin=subprocess.DEVNULL, env=env, cwd=self.w.root)
        self.expected = True; self.w.rec(self.name, "started, process", self.proc.pid)
    def kill(self):
        self.expected = False
        if self.proc and self.proc.poll() is None:
            self.proc.kill(); self.proc.wait(); self.w.rec(self.name, "killed")
    def sig(self, s): self.w.rec(self.name, "signal", s); self.proc.send_signal(s)
    async def bounce(self, s):
        self.kill(); await asyncio.sleep(s); self.start()

class World:
    """One deployment: stand-ins and three controllers."""
    def __init__(self, record_path, root, **o):
        self.rec = Record(record_path); self.root = root; self.o = o
        self.lease_s, self.report_s, self.cancel_s = o.get("lease_s", 16.0), o.get("report_s", 2.5), o.get("cancel_s", 46.0)
        self.gang_wait_s, self.gang_peer_s = 30.0, o.get("gang_peer_s", 4.0)
        self.fail_after_s = o.get("fail_after_s", 1.0)   # how long a task runs before it fails on a sick machine
        self.zones = o.get("zones", ["bole", "kality"]); self.sites = o.get("sites", ["bole", "kality", "bole"])
        self.teams = o.get("teams", {"platformops-%02d" % i: 18.0 for i in range(8)})
        self.guar = o.get("guar", 8.0)
        self.log_level = o.get("log", "info")
        self.results, self.gangs, self.cut_reports, self.report_tap = set(), {}, set(), None
        self.runs, self.bad = {}, set()
        self.nodes, self.by_name = [], {}
        typ = o.get("typ", {"name": "entoto", "vcpus": 16.0, "accelerators": 2.0, "memory_gb": 128.0, "local_gb": 90.0, "pull_gb_per_s": 1.0,
               "hourly": 4.57, "spot_price": 1.89, "ready_s": 25.0})
        typ = dict(typ, halls=self.zones); self.typ = typ; self.types = {typ["name"]: typ}
        self.dir = tempfile.mkdtemp(prefix="review-"); self.bg = []; WORLDS.append(self)
    def run_s(self, uid, i): return self.runs.get(uid, 20.0) if not callable(self.runs.get(uid)) else self.runs[uid](i)
    def mistake(self, uid): return uid in self.bad
    def run_command(self):
        for line in open(self.root + "/deploy/service.toml"):
            name, _, value = line.partition("=")
            if name.strip() == "run":
                c = value.strip().strip('"').split(); c[0] = os.path.join(self.root, c[0]); return c
        raise RuntimeError("no run command in deploy/service.toml")
    async def start(self):
        self.run_cmd = self.run_command()
        self.check = Checker(self.rec, self.cancel_s, self.teams)
        s = self.o.get("state", dict(rps=250.0, write_rps=100.0, value_kb=16.0, txn_ops=48))
        self.state = State(s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"], self.rec)
        lag = self.o.get("lag", 3.0)
        self.cloud = Cloud(self, [self.typ], lag, self.o.get("boot", lambda: random.uniform(0.6, 1.5) * self.typ["ready_s"]), self.o.get("cap", {(z, False): 12 for z in self.zones}))
        self.bg = [asyncio.ensure_future(x) for x in (self.state.ticker(), self.check.ticker(), self.cloud.ticker())]
        n = len(self.sites); used = []
        def free():
            k = socket.socket(); k.bind(("127.0.0.1", 0)); used.append(k); return k.getsockname()[1]
        ports = [(free(), free()) for _ in range(n)]
        for k in used: k.close()
        _, cp = await http_server(self.cloud.handle)
        self.nodes = [Node(self, i, z) for i, z in enumerate(self.sites)]
        for i, nd in enumerate(self.nodes): nd.bind = ("127.0.0.1", ports[i][0]); nd.mesh = ports[i][1]; self.by_name[nd.name] = i
        self.mesh_proxy = {}
        for i, nd in enumerate(self.nodes):
            _, sp = await http_server(self.state.handler(nd.name))
            t = 'member = "%s"\nsite = "%s"\nbind = "127.0.0.1:%d"\nmesh_addr = "127.0.0.1:%d"\n' % (nd.name, nd.zone, nd.bind[1], nd.mesh)
            for j, o in enumerate(self.nodes):
                if j != i:
                    px = Proxy(o.mesh); await px.start(); self.mesh_proxy[(i, j)] = px
                    t += '[[others]]\nmember = "%s"\nsite = "%s"\nendpoint = "127.0.0.1:%d"\n' % (o.name, o.zone, px.port)
            t += '[services]\ncloud = "127.0.0.1:%d"\nstate = "127.0.0.1:%d"\n' % (cp, sp)
            t += '[params]\nsize = %d\nzones = %s\ntime_bound_ms = %s\n' % (n, json.dumps(self.zones), self.o.get("time_bound_ms", 100.0))
            for team, lim in self.teams.items(): t += '[[params.teams]]\nname = "%s"\ncpus = 0.0\ncpus_max = 0.0\ngpus = %.1f\ngpus_max = %.1f\n' % (team, self.guar if lim else 0.0, lim)
            t += self.o.get("objectives", '[[params.objectives]]\nkind = "wait"\nclass = "aqindex"\nwithin_s = 5.0\nshare = 0.85\n')
            t += '[params.workers]\nreport_s = %s\nlease_s = %s\ngang_wait_s = %s\ngang_peer_s = %s\ncancel_s = %s\n' % (self.report_s, self.lease_s, self.gang_wait_s, self.gang_peer_s, self.cancel_s)
            t += '[params.state]\nrps = %s\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %d\n[params.cloud]\nrps = %s\nlist_lag_s = %s\n[params.quota]\ncpu = %s\nmemory_mb = %s\nmax_connections = %d\n' % (s["rps"], s["write_rps"], s["value_kb"], s["txn_ops"], self.o.get("cloud_rps", 4.0), lag, *self.o.get("quota", (0.16, 104.0, 1800)))
            nd.path = "%s/%s.toml" % (self.dir, nd.name); open(nd.path, "w").write(t)
        for hall, k in self.o.get("machines", {"bole": 4, "kality": 6}).items():
            for _ in range(k): self.cloud.add(self.typ["name"], hall, False, random.uniform(0.2, 1.0))
        for nd in self.nodes: nd.start()
    async def ready(self, timeout=30):
        end = now() + timeout
        while now() < end:
            ok = 0
            for nd in self.nodes:
                try: ok += (await Client(nd.bind).call("GET", "/ready", None, 1.0))[0] == 200
                except Exception: pass
            if ok == len(self.nodes): return True
            await asyncio.sleep(0.2)
        return False
    def stop(self):
        for nd in self.nodes: nd.kill()
        for b in self.bg: b.cancel()
        if not self.o.get("keep"): shutil.rmtree(self.dir, ignore_errors=True)
    def crashed(self):
        return [nd.name for nd in self.nodes if nd.expected and nd.proc.poll() is not None]
    async def submit(self, job, node=None, timeout=60):
        """-> True when accepted. Retries as a user does."""
        self.check.jobs.setdefault(job["uid"], job); end = now() + timeout; wait = 1.0
        while now() < end:
            nd = self.nodes[node if node is not None else random.randrange(len(self.nodes))]
            try:
                st, obj, hd = await Client(nd.bind).call("POST", "/v1/jobs", job, 5.0)
                self.rec("user submits", job["uid"], "to", nd.name, "->", st, obj)
                if st in (200, 201): return True
                if st in (400, 422): return False
                wait = max(1.0, float(hd.get("retry-after", 1)))
            except Exception as e: self.rec("user submits", job["uid"], "to", nd.name, "-> no answer"); wait = 1.0
            node = None; await asyncio.sleep(wait)
        return False
    async def cancel(self, uid, node=None, timeout=60):
        end = now() + timeout
        while now() < end:
            nd = self.nodes[node if node is not None else random.randrange(len(self.nodes))]
            try:
                st, obj, hd = await Client(nd.bind).call("POST", "/v1/jobs/%s/abort" % uid, {}, 5.0)
                self.rec("user cancels", uid, "at", nd.name, "->", st, obj)
                if st == 200:
                    if obj["phase"] == "aborted": self.check.cancelled.setdefault(uid, now())
                    return obj["phase"]
            except Exception: self.rec("user cancels", uid, "at", nd.name, "-> no answer")
            node = None; await asyncio.sleep(1.0)
        return None
    async def poll(self, uid, node=None):
        nd = self.nodes[node if node is not None else random.randrange(len(self.nodes))]
        try:
            st, obj, hd = await Client(nd.bind).call("GET", "/v1/jobs/%s" % uid, None, 2.0)
            return st, obj
        except Exception: return None, None

class Proxy:
    """A TCP proxy for one direction of opening connections: ok, refuse, hold."""
    def __init__(self, to): self.to, self.mode = to, "ok"; self.conns = set()
    async def start(self):
        self.srv = await asyncio.start_server(self.on, "127.0.0.1", 0); self.port = self.srv.sockets[0].getsockname()[1]
    async def on(self, r, w):
        if self.mode == "refuse": w.transport.abort(); return
        while self.mode == "hold": await asyncio.sleep(0.05)
        try: r2, w2 = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError: w.transport.abort(); return
        self.conns.add((w, w2))
        async def pump(a, b):
            try:
                while True:
                    d = await a.read(65536)
                    while self.mode == "hold": await asyncio.sleep(0.05)
                    if not d: break
                    b.write(d); await b.drain()
            except (ConnectionError, OSError): pass
            finally:
                try: b.close()
                except Exception: pass
        await asyncio.gather(pump(r, w2), pump(r2, w)); self.conns.discard((w, w2))
    def set(self, mode):
        self.mode = mode
        if mode == "refuse":
            for a, b in list(self.conns): a.transport.abort(); b.transport.abort()

# Settings of kit/sites/laudmang-compute.toml; those of kit/sites/shegerair-platform.toml are the defaults above.
LAUDMANG = dict(zones=["ulemiste", "kopli", "raadi"], sites=["ulemiste", "kopli", "raadi"], lease_s=30.0, report_s=3.0, cancel_s=55.0, gang_peer_s=8.0,
    teams={"engineroom-%02d" % i: 104.0 for i in range(8)}, guar=40.0, time_bound_ms=1000.0, lag=12.0, cloud_rps=3.0, quota=(0.24, 200.0, 3500),
    state=dict(rps=100.0, write_rps=40.0, value_kb=8.0, txn_ops=32), machines={"ulemiste": 3, "kopli": 4, "raadi": 4},
    cap={("ulemiste", False): 8, ("ulemiste", True): 5, ("kopli", False): 12, ("kopli", True): 7, ("raadi", False): 10, ("raadi", True): 6},
    typ={"name": "toompea", "vcpus": 96.0, "accelerators": 8.0, "memory_gb": 768.0, "local_gb": 60.0, "pull_gb_per_s": 0.25, "hourly": 20.29, "spot_price": 8.36, "ready_s": 35.0},
    objectives='[[params.objectives]]\nkind = "wait"\nclass = "liveeval"\nwithin_s = 2.0\nshare = 0.88\n[[params.objectives]]\nkind = "deadline"\nclass = "postmortem"\nshare = 0.97\ntimes = 1.0\n[[params.objectives]]\nkind = "wait"\nclass = "nettrain"\nwithin_s = 15.0\nshare = 0.85\n')

def run_case(main, seconds=119):
    """Runs the coroutine function main(record_path, root, trouble) -> 0, 1 or 2 within the time limit, and ends all
    processes that it started. Exits with 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0])); root = os.path.dirname(os.path.dirname(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    def finish(code):
        for w in WORLDS: w.stop()
        print({0: "held", 1: "BROKEN", 2: "could not run"}[code]); sys.stdout.flush(); os._exit(code)
    async def guarded():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, finish, 2)
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, finish, 2)
        try: code = await asyncio.wait_for(main(os.path.join(folder, "record.txt"), root, trouble), seconds)
        except Exception as e: print("could not run:", repr(e)); code = 2
        finish(code)
    asyncio.run(guarded())

def job(uid, shape="array", shards=1, gpus=1.0, cpus=5.0, mem=38.0, team="platformops-00", cls="x", urgency="standard", together=False, apart=False,
        spot=False, exp=20.0, every=0.0, save=0.0, due=None, hall=None, img="img-0", gb=2.0, waits=None):
    j = {"uid": uid, "jobclass": cls, "tenant": team, "shape": shape, "urgency": urgency, "shards": shards, "vcpus": cpus, "accelerators": gpus,
         "memory_gb": mem, "bundle": img, "size_gb": gb, "hosttypes": None, "hall": hall, "together": together, "apart": apart, "reclaimable": spot,
         "expected_s": exp, "snapshot_every_s": every, "snapshot_s": save, "due_s": due}
    if waits: j["waits_on"] = waits
    return j
