import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '../../../src/common/manualClock.js'
import { InputScheduler, type WaitingInput } from '../../../src/node/http/inputScheduler.js'

const PARSING_MS = 3

/** Turns of an event loop, and inputs that each take some time to parse. */
class Loop {
  readonly clock = new ManualClock()
  private turns: Array<() => void> = []
  readonly scheduler = new InputScheduler(this.clock, (callback) => { this.turns.push(callback) })
  readonly log: string[] = []

  createInput (name: string, requests: number): WaitingInput {
    let left = requests
    const input: WaitingInput = {
      resume: () => {
        while (left > 0) {
          if (!this.scheduler.mayParse()) {
            this.scheduler.add(input)
            return
          }
          left--
          this.log.push(name)
          this.clock.stepBy(PARSING_MS)
          this.scheduler.recordParsing()
        }
      },
      resumeReading: () => { this.log.push(`read ${name}`) }
    }
    return input
  }

  runTurn (): void {
    for (const callback of this.turns.splice(0)) callback()
    this.log.push('turn')
  }
}

describe('the turns of connections', () => {
  it('go round while more is to be parsed than fits into one turn', () => {
    const loop = new Loop()
    loop.createInput('a', 6).resume()
    loop.createInput('b', 2).resume()
    for (let turn = 0; turn < 4; turn++) loop.runTurn()
    assert.deepEqual(loop.log, ['a', 'a', 'a', 'a', 'turn', 'b', 'b', 'turn', 'a', 'a', 'turn', 'turn'])
  })

  it('let all read again in turn when the pace allows it', () => {
    const loop = new Loop()
    const inputs = ['a', 'b'].map((name) => loop.createInput(name, 0))
    assert.equal(loop.scheduler.recordRead(inputs[0]!, 600_000), true)
    assert.equal(loop.scheduler.recordRead(inputs[1]!, 100_000), false)
    loop.clock.stepBy(10)
    assert.deepEqual(loop.log, ['read b'])
    assert.equal(loop.scheduler.recordRead(inputs[1]!, 65_536), true)
    loop.scheduler.close()
  })
})
