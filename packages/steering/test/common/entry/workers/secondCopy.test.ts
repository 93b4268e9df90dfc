import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { CacheHitEstimator, CacheState } from '../../../../src/common/entry/workers/cacheHitEstimator.js'

const SAMPLES = 200

/** Observes answers of workers that rank first, of which every tenth part given is a miss. */
function observeFirstRank (estimator: CacheHitEstimator, hitsOfTen: number): void {
  for (let index = 0; index < SAMPLES; index++) estimator.observe(CacheState.FirstRank, index * 7 % 10 < hitsOfTen)
}

describe('the second copy of an object', () => {
  // Guards against second workers that stay cold because nobody uses them, while the first ones have queues.
  it('counts as likely as the first one while workers have room for both', () => {
    const estimator = new CacheHitEstimator()
    observeFirstRank(estimator, 9)
    assert.equal(estimator.estimateSecondCopyProbability(CacheState.SecondRank), estimator.getProbability(CacheState.FirstRank))
  })

  // Guards against second copies that evict the first copies of other objects.
  it('counts as likely as it has shown where workers keep too few objects', () => {
    const estimator = new CacheHitEstimator()
    observeFirstRank(estimator, 5)
    assert.equal(estimator.estimateSecondCopyProbability(CacheState.SecondRank), estimator.getProbability(CacheState.SecondRank))
  })

  it('is given up only when the first copies clearly suffer', () => {
    const estimator = new CacheHitEstimator()
    observeFirstRank(estimator, 9)
    estimator.estimateSecondCopyProbability(CacheState.SecondRank)
    observeFirstRank(estimator, 7)
    assert.equal(estimator.estimateSecondCopyProbability(CacheState.SecondRank), estimator.getProbability(CacheState.FirstRank))
    observeFirstRank(estimator, 5)
    assert.equal(estimator.estimateSecondCopyProbability(CacheState.SecondRank), estimator.getProbability(CacheState.SecondRank))
  })

  it('never counts as less likely than it has shown', () => {
    const estimator = new CacheHitEstimator()
    observeFirstRank(estimator, 8)
    assert.equal(estimator.estimateSecondCopyProbability(CacheState.RecentlyUsed), estimator.getProbability(CacheState.RecentlyUsed))
  })
})
