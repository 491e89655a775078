package engineclient_test

import (
	"context"
	"errors"
	"fmt"
	"io"

	"example.org/lagoonfork/internal/engineclient"
	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/configuration"
)

func ExampleClient() {
	e, err := fake.New(fake.Settings{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = e.Close() }()
	c := engineclient.New(engineclient.Settings{})
	defer func() { _ = c.Close() }()

	ctx := context.Background()
	upstream := configuration.Upstream{ID: "engine-1", Address: e.Address()}
	s, err := c.Start(ctx, upstream, engineclient.Run{
		Request:   "budget-1/request-1",
		Attempt:   "attempt-1",
		Body:      []byte(`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"Which towers strike?"}]}`),
		MaxOutput: 3,
	})
	if errors.Is(err, engineclient.ErrNotRun) {
		fmt.Println("another upstream may run it")
		return
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = s.Close() }()
	for {
		e, err := s.Next(ctx)
		if err == io.EOF {
			return
		}
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%d %q %q\n", e.Index, e.Text, e.FinishReason)
	}
	// Output:
	// 1 "ef9ff9 " ""
	// 2 "2e295b " ""
	// 3 "bc58da " ""
	// 0 "" "length"
}
