-- The ledger's steps, as in rookwood/ledger/store.py (Steps) and life.py. KEYS: mark, members, record.
-- ARGV: the step, the generation and the claim count that the caller knows, then the arguments of the step.
-- Times are microseconds of this server's clock. Numbers are formatted as integers: Lua's default format
-- rounds them.
local function as_integer(x) return string.format('%.0f', x) end
local clock = redis.call('TIME')
local now = clock[1] * 1000000 + clock[2]
local run_id = string.match(redis.call('INFO', 'server'), 'run_id:(%w+)')
local step, known_generation, known_count = ARGV[1], ARGV[2], tonumber(ARGV[3])

local function read_mark()
  return redis.call('HMGET', KEYS[1], 'generation', 'run_id', 'count', 'began', 'trusted')
end

local function reply(done, verdict, token, wait, result)
  local mark = read_mark()
  return {run_id, mark[1] or '', mark[2] or '', mark[3] or '0', mark[4] or '0', mark[5] or '0', as_integer(now),
          done, verdict or '', as_integer(token or 0), as_integer(wait or 0), result or ''}
end

local mark = read_mark()
if step == 'look' then return reply(0) end

if step == 'begin' then -- generation, trusted
  if (mark[1] or '') ~= known_generation then return reply(0) end
  local count = math.max(tonumber(mark[3] or '0'), known_count) + 1
  redis.call('DEL', KEYS[2])
  redis.call('HSET', KEYS[1], 'generation', ARGV[4], 'run_id', run_id, 'count', as_integer(count),
             'began', as_integer(now), 'trusted', ARGV[5])
  return reply(1)
end

-- Every other step is applied only to the history that the caller knows.
local same = mark[1] == known_generation and mark[2] == run_id and tonumber(mark[3] or '0') >= known_count
if not same then return reply(0, step == 'claim' and 'unsure' or '') end

if step == 'vouch' then -- name, alive since
  redis.call('HSET', KEYS[2], ARGV[4], ARGV[5])
  return reply(1)
end

local record = redis.call('HMGET', KEYS[3], 'fingerprint', 'nonce', 'token', 'phase', 'lease', 'last', 'kept', 'result')
if record[1] and tonumber(record[7]) <= now then record = {} end

local function put(fingerprint, nonce, token, phase, lease, last, kept, result)
  redis.call('HSET', KEYS[3], 'fingerprint', fingerprint, 'nonce', nonce, 'token', as_integer(token), 'phase', phase,
             'lease', as_integer(lease), 'last', as_integer(last), 'kept', as_integer(kept), 'result', result)
  redis.call('PEXPIREAT', KEYS[3], as_integer(math.ceil(kept / 1000)))
end

if step == 'restore' then -- all fields of a record
  if tonumber(ARGV[10]) > now and (not record[1] or tonumber(record[3]) < tonumber(ARGV[6])) then
    put(ARGV[4], ARGV[5], tonumber(ARGV[6]), ARGV[7], tonumber(ARGV[8]), tonumber(ARGV[9]), tonumber(ARGV[10]), ARGV[11])
  end
  return reply(1)
end

if step == 'claim' then -- fingerprint, nonce, lease, runs, kept, tier, window
  if not record[1] then
    local began, window = tonumber(mark[4]), tonumber(ARGV[10])
    if mark[5] ~= '1' and now < began + window then
      local vouching = 0
      for _, since in ipairs(redis.call('HVALS', KEYS[2])) do
        if tonumber(since) <= began - window then vouching = vouching + 1 end
      end
      if vouching < tonumber(ARGV[9]) then return reply(0, 'unsure', 0, began + window - now) end
    end
    local token = tonumber(mark[3]) + 1
    local last = now + tonumber(ARGV[7])
    redis.call('HSET', KEYS[1], 'count', as_integer(token))
    put(ARGV[4], ARGV[5], token, 'claimed', now + tonumber(ARGV[6]), last, last + tonumber(ARGV[8]), '')
    return reply(1, 'granted', token)
  end
  local lease = tonumber(record[5])
  if record[1] ~= ARGV[4] then return reply(0, 'mismatch') end
  if record[4] == 'served' then return reply(0, 'kept', 0, 0, record[8]) end
  if record[4] == 'failed' then return reply(0, 'unknown') end
  if now < lease then
    if record[2] == ARGV[5] then return reply(1, 'granted', tonumber(record[3])) end
    return reply(0, 'busy', 0, lease - now)
  end
  if now >= tonumber(record[6]) then redis.call('HSET', KEYS[3], 'phase', 'failed') end
  return reply(0, 'unknown')
end

-- The remaining steps require the token of the claim.
if not record[1] or tonumber(record[3]) ~= tonumber(ARGV[4]) then return reply(0) end
if step == 'renew' then -- token, lease
  if record[4] ~= 'claimed' or now >= tonumber(record[5]) then return reply(0) end
  redis.call('HSET', KEYS[3], 'lease', as_integer(math.min(now + tonumber(ARGV[5]), tonumber(record[6]))))
  return reply(1)
end
if step == 'settle' then -- token, phase, result
  if record[4] == 'served' then return reply(ARGV[5] == 'served' and 1 or 0) end
  redis.call('HSET', KEYS[3], 'phase', ARGV[5], 'result', ARGV[6])
  return reply(1)
end
if step == 'release' then -- token
  if record[4] ~= 'claimed' then return reply(0) end
  redis.call('DEL', KEYS[3])
  return reply(1)
end
return redis.error_reply('no such step: ' .. step)
