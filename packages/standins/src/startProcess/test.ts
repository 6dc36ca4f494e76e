import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { connectPlatform, HttpRunnerClient } from '@gypsumspring/adapters'
import { callControl } from '../callControl/index.ts'
import { startProcess, type StartedProcess } from './index.ts'

const built = (name: string) => fileURLToPath(new URL(`../../dist/${name}.js`, import.meta.url))

describe('startProcess', () => {
  const started: StartedProcess[] = []
  const start = async (...call: Parameters<typeof startProcess>): Promise<StartedProcess> => {
    const child = await startProcess(...call)
    started.push(child)
    return child
  }

  afterEach(async () => { await Promise.all(started.splice(0).map((child) => child.kill())) })

  it('starts, pauses, resumes and stops the built stand-in programs', async () => {
    const platformProcess = await start(built('platform'), { args: ['--port', '0'] })
    const { url } = platformProcess.ready
    const workers = await start(built('workers'), { args: ['--platform-url', url, '--count', '2', '--id-prefix', 'w'] })
    const endpoints = await start(built('endpoints'), { args: ['--count', '2', '--slots', '3'] })
    const platform = connectPlatform({ platformUrl: url, storeTimeoutMs: 300 })
    const machines = (await platform.inventory.list()).unsafeCoerce()
    expect(machines.map(({ id }) => id)).to.deep.equal(['w0', 'w1'])
    expect((await platform.workers.connect(machines[0]!).inspect('s')).isRight()).to.equal(true)
    expect(endpoints.ready.runners).to.have.length(2)
    expect((await callControl(endpoints.ready.url, 'runners'))[1].behaviour.slots).to.equal(3)
    expect((await callControl(workers.ready.url, 'workers'))).to.have.length(2)

    platformProcess.pause()
    expect((await platform.table.read('a')).extract()).to.include({ certainty: 'unknown', reason: 'timeout' })
    platformProcess.resume()
    expect((await platform.table.read('a')).isRight()).to.equal(true)
    platformProcess.pause()
    await platformProcess.kill('SIGTERM')
    expect(platformProcess.exitCode, 'a paused process must be resumed to handle the signal').to.equal(0)
    expect((await platform.table.read('a')).extract()).to.include({ certainty: 'not-done', reason: 'unavailable' })
    await platform.close()
  })

  it('rejects with the output of a program that exits before it is ready', async () => {
    const error = await startProcess(built('workers'), { args: ['--platform-url', 'http://127.0.0.1:1'] })
      .then(() => undefined, (error: Error) => error)
    expect(error?.message).to.match(/exited with 1:\nworkers: fetch failed/)
  })

  it('kills a program that does not become ready in time, and started programs when their parent is killed', async () => {
    const endless = 'console.log(JSON.stringify({ pid: process.pid })); setInterval(() => {}, 1000)'
    const error = await startProcess('-e', { args: [endless], readyTimeoutMs: 2_000 })
      .then(() => undefined, (error: Error) => error)
    const { pid } = JSON.parse(error!.message.split('\n')[1]!)
    expect(() => process.kill(pid, 0)).to.throw('ESRCH')

    const outer = `const { spawn } = require('node:child_process')
      const inner = spawn(process.execPath, [...process.execArgv.slice(0, 2), '-e', ${JSON.stringify(endless)}])
      inner.stdout.once('data', () => console.log(JSON.stringify({ ready: true, inner: inner.pid })))`
    const child = await start('-e', { args: [outer] })
    const isAlive = () => { try { return process.kill(child.ready.inner, 0) } catch { return false } }
    expect(isAlive()).to.equal(true)
    await child.kill()
    while (isAlive()) await new Promise((resolve) => setTimeout(resolve, 10))
  })

  it('records concurrent requests, connections and runs per request id at the stand-in runners', async () => {
    const endpoints = await start(built('endpoints'), { args: ['--count', '1', '--service-ms', '100'] })
    const [{ address }] = endpoints.ready.runners
    const client = new HttpRunnerClient()
    client.limitConnections(address, 4)
    const send = async (id: string) => {
      const outcome = await client.send(address, {
        method: 'GET', path: '/', headers: { 'x-request-id': id }, body: new Uint8Array(), timeoutMs: 5_000
      })
      if (outcome.isRight()) await text(outcome.unsafeCoerce().body)
      return outcome
    }
    await Promise.all(['a', 'b', 'a', 'c'].map(send))
    expect((await callControl(endpoints.ready.url, 'requests')))
      .to.deep.equal({ ids: 3, repeated: { a: ['runner-0', 'runner-0'] } })
    await callControl(endpoints.ready.url, 'runners/all/behaviour', { slots: 1, enforceSlots: true })
    const certainties = (await Promise.all(['d', 'e', 'f', 'g'].map(send))).map((outcome) => outcome.isRight())
    expect(certainties.filter(Boolean)).to.have.length(1)
    const [{ records }] = await callControl(endpoints.ready.url, 'runners')
    expect(records).to.include({ runs: 5, answered: 5, refused: 3, active: 0, maxActive: 4, maxConnections: 4 })
    await client.close()
  })
})
