import { expect } from 'chai'
import type { TaskStatus } from '../../model/index.ts'
import type { Step } from '../../types.ts'
import { makeStep, makeWorker } from '../_test/makeState.ts'
import { keepLongRunning } from './index.ts'

const demand = { cpuMillis: 3_000, memoryMb: 2_000, accelerators: 0 }

describe('keepLongRunning', () => {
  const cases: Array<{ name: string, step: Partial<Step>, status: TaskStatus, cpuMillis: number }> = [
    { name: 'keeps long-running tasks', step: { longRunning: true }, status: 'running', cpuMillis: 3_000 },
    { name: 'drops those that are being stopped', step: { longRunning: true }, status: 'stopping', cpuMillis: 0 },
    { name: 'drops tasks that end by themselves', step: {}, status: 'running', cpuMillis: 0 }
  ]
  for (const { name, step, status, cpuMillis } of cases) {
    it(name, () => {
      const worker = makeWorker('w')
      const task = makeStep({ demand, ...step }).tasks[0]!
      task.status = status
      worker.add(task)
      expect(keepLongRunning(worker).usedCpuMillis).to.equal(cpuMillis)
      expect(worker.usedCpuMillis).to.equal(demand.cpuMillis)
    })
  }
})
